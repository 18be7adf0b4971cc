package brookpath.testing.fleet;

import jakarta.json.JsonObject;
import java.util.ArrayList;
import java.util.List;

/** A group as shown on the status page of a storage node. */
record GroupView(int group, boolean isLeader, boolean mayAct, String why) {
    /** The groups on a status page; none if the page is empty. */
    static List<GroupView> read(final String status) {
        final List<GroupView> views = new ArrayList<>();
        if (status.isEmpty()) {
            return views;
        }
        for (final JsonObject group :
                JsonText.parse(status).getJsonArray("groups").getValuesAs(JsonObject.class)) {
            views.add(new GroupView(
                    group.getInt("group"),
                    group.getString("role").equals("master"),
                    group.getBoolean("mayAct"),
                    group.getString("why")));
        }
        return views;
    }
}

package brookpath.protocol.frame;

import static java.nio.charset.StandardCharsets.UTF_8;

import brookpath.coordination.message.PeerMessage;
import brookpath.protocol.sbe.ConfigurationPollFrameDecoder;
import brookpath.protocol.sbe.ConfigurationPollFrameEncoder;
import brookpath.protocol.sbe.ConfigurationReplyFrameDecoder;
import brookpath.protocol.sbe.ConfigurationReplyFrameEncoder;
import brookpath.protocol.sbe.CountAskFrameDecoder;
import brookpath.protocol.sbe.CountAskFrameEncoder;
import brookpath.protocol.sbe.CountReplyFrameDecoder;
import brookpath.protocol.sbe.CountReplyFrameEncoder;
import brookpath.protocol.sbe.FetchFrameDecoder;
import brookpath.protocol.sbe.FetchFrameEncoder;
import brookpath.protocol.sbe.FetchReplyFrameDecoder;
import brookpath.protocol.sbe.FetchReplyFrameEncoder;
import brookpath.protocol.sbe.HeartbeatFrameDecoder;
import brookpath.protocol.sbe.HeartbeatFrameEncoder;
import brookpath.protocol.sbe.ListenFrameDecoder;
import brookpath.protocol.sbe.ListenFrameEncoder;
import brookpath.protocol.sbe.MessageHeaderDecoder;
import brookpath.protocol.sbe.MessageHeaderEncoder;
import brookpath.protocol.sbe.OpFrameDecoder;
import brookpath.protocol.sbe.OpFrameEncoder;
import brookpath.protocol.sbe.OpReplyFrameDecoder;
import brookpath.protocol.sbe.OpReplyFrameEncoder;
import brookpath.protocol.sbe.PublishFrameDecoder;
import brookpath.protocol.sbe.PublishFrameEncoder;
import brookpath.protocol.sbe.PublishReplyFrameDecoder;
import brookpath.protocol.sbe.PublishReplyFrameEncoder;
import brookpath.protocol.sbe.PullFrameDecoder;
import brookpath.protocol.sbe.PullFrameEncoder;
import brookpath.protocol.sbe.PullReplyFrameDecoder;
import brookpath.protocol.sbe.PullReplyFrameEncoder;
import brookpath.protocol.sbe.StandNowFrameDecoder;
import brookpath.protocol.sbe.StandNowFrameEncoder;
import brookpath.protocol.sbe.VoteAskFrameDecoder;
import brookpath.protocol.sbe.VoteAskFrameEncoder;
import brookpath.protocol.sbe.VoteReplyFrameDecoder;
import brookpath.protocol.sbe.VoteReplyFrameEncoder;
import brookpath.state.record.LogRecord;
import java.util.ArrayList;
import java.util.List;
import org.agrona.ExpandableArrayBuffer;
import org.agrona.concurrent.UnsafeBuffer;

/** Messages to SBE frames and back. Not for several threads at once: its flyweights are used over and over. */
public final class FrameCodec {
    public static final int MAX_FRAME = 32 << 20;

    private final MessageHeaderEncoder headEnc = new MessageHeaderEncoder();
    private final MessageHeaderDecoder headDec = new MessageHeaderDecoder();
    private final UnsafeBuffer in = new UnsafeBuffer(0, 0);
    private ExpandableArrayBuffer out = new ExpandableArrayBuffer(1024);

    public byte[] encode(final PeerMessage message) {
        final int len = MessageHeaderEncoder.ENCODED_LENGTH + body(message);
        final byte[] bytes = new byte[len];
        out.getBytes(0, bytes);
        if (out.capacity() > 1 << 20) {
            // why: one full sync must not hold its memory for ever
            out = new ExpandableArrayBuffer(1024);
        }
        return bytes;
    }

    private int body(final PeerMessage message) {
        if (message instanceof PeerMessage.Heartbeat m) {
            final HeartbeatFrameEncoder e = new HeartbeatFrameEncoder()
                    .wrapAndApplyHeader(out, 0, headEnc)
                    .reply(bit(m.reply()))
                    .id(m.id())
                    .stamp(m.stamp())
                    .known(m.known())
                    .same(bit(m.same()));
            final HeartbeatFrameEncoder.EntriesEncoder g =
                    e.entriesCount(m.entries().size());
            for (final PeerMessage.HeartbeatEntry b : m.entries()) {
                g.next()
                        .group(b.group())
                        .groupVersion(b.groupVersion())
                        .term(b.term())
                        .role((short) b.role())
                        .sync((short) b.sync())
                        .startIndex(b.startIndex())
                        .endIndex(b.endIndex())
                        .endTerm(b.endTerm())
                        .committed(b.committed())
                        .leaderHeard(b.leaderHeard())
                        .weight(b.weight());
            }
            return e.encodedLength();
        } else if (message instanceof PeerMessage.VoteRequest m) {
            return new VoteAskFrameEncoder()
                    .wrapAndApplyHeader(out, 0, headEnc)
                    .group(m.group())
                    .groupVersion(m.groupVersion())
                    .term(m.term())
                    .endIndex(m.endIndex())
                    .endTerm(m.endTerm())
                    .weight(m.weight())
                    .goes(m.goes())
                    .manual(bit(m.manual()))
                    .encodedLength();
        } else if (message instanceof PeerMessage.VoteReply m) {
            final VoteReplyFrameEncoder e = new VoteReplyFrameEncoder()
                    .wrapAndApplyHeader(out, 0, headEnc)
                    .group(m.group())
                    .term(m.term())
                    .granted(bit(m.granted()))
                    .termSeen(m.termSeen());
            final byte[] why = utf(m.why());
            return e.putWhy(why, 0, why.length).encodedLength();
        } else if (message instanceof PeerMessage.Pull m) {
            return new PullFrameEncoder()
                    .wrapAndApplyHeader(out, 0, headEnc)
                    .group(m.group())
                    .groupVersion(m.groupVersion())
                    .term(m.term())
                    .nextIndex(m.nextIndex())
                    .prevTerm(m.prevTerm())
                    .syncedIndex(m.syncedIndex())
                    .syncedTerm(m.syncedTerm())
                    .committed(m.committed())
                    .lost(bit(m.lost()))
                    .chain(m.chain())
                    .snapshotSum(m.snapshotSum())
                    .snapshotOffset(m.snapshotOffset())
                    .encodedLength();
        } else if (message instanceof PeerMessage.PullReply m) {
            final PullReplyFrameEncoder e = new PullReplyFrameEncoder()
                    .wrapAndApplyHeader(out, 0, headEnc)
                    .group(m.group())
                    .groupVersion(m.groupVersion())
                    .term(m.term())
                    .kind((short) m.kind())
                    .standing((short) m.standing())
                    .committed(m.committed())
                    .askedIndex(m.askedIndex())
                    .askedTerm(m.askedTerm())
                    .tryIndex(m.tryIndex())
                    .snapshotSum(m.snapshotSum())
                    .snapshotTotal(m.snapshotTotal())
                    .snapshotOffset(m.snapshotOffset());
            final PullReplyFrameEncoder.RecordsEncoder g =
                    e.recordsCount(m.records().size());
            m.records().forEach(r -> g.next().putRecord(r.bytes(), 0, r.bytes().length));
            return e.putSnapshot(m.snapshot(), 0, m.snapshot().length).encodedLength();
        } else if (message instanceof PeerMessage.Publish m) {
            final PublishFrameEncoder e = new PublishFrameEncoder()
                    .wrapAndApplyHeader(out, 0, headEnc)
                    .requestId(m.requestId())
                    .group(m.group())
                    .configurationVersion(m.configurationVersion())
                    .seq(m.seq());
            final byte[] tenant = utf(m.tenant());
            final byte[] topic = utf(m.topic());
            final byte[] sender = utf(m.sender());
            final byte[] text = utf(m.text());
            return e.putTenant(tenant, 0, tenant.length)
                    .putTopic(topic, 0, topic.length)
                    .putSender(sender, 0, sender.length)
                    .putText(text, 0, text.length)
                    .encodedLength();
        } else if (message instanceof PeerMessage.PublishReply m) {
            final byte[] why = utf(m.why());
            return new PublishReplyFrameEncoder()
                    .wrapAndApplyHeader(out, 0, headEnc)
                    .requestId(m.requestId())
                    .outcome((short) m.outcome())
                    .position(m.position())
                    .leaderHint(m.leaderHint())
                    .term(m.term())
                    .putWhy(why, 0, why.length)
                    .encodedLength();
        } else if (message instanceof PeerMessage.Fetch m) {
            final FetchFrameEncoder e = new FetchFrameEncoder()
                    .wrapAndApplyHeader(out, 0, headEnc)
                    .requestId(m.requestId())
                    .group(m.group())
                    .tail(bit(m.tail()))
                    .hold(bit(m.hold()))
                    .at(m.at())
                    .edition(m.edition());
            final FetchFrameEncoder.TopicsEncoder g = e.topicsCount(m.topics().size());
            m.topics().forEach(t -> g.next().from(t.from()).putTopic(utf(t.topic()), 0, utf(t.topic()).length));
            return e.encodedLength();
        } else if (message instanceof PeerMessage.FetchReply m) {
            final FetchReplyFrameEncoder e = new FetchReplyFrameEncoder()
                    .wrapAndApplyHeader(out, 0, headEnc)
                    .requestId(m.requestId())
                    .group(m.group())
                    .status((short) m.status())
                    .scannedTo(m.scannedTo());
            final FetchReplyFrameEncoder.GoneEncoder gone = e.goneCount(m.gone().size());
            m.gone().forEach(t -> gone.next().putTopic(utf(t), 0, utf(t).length));
            final FetchReplyFrameEncoder.RecordsEncoder g =
                    e.recordsCount(m.records().size());
            m.records().forEach(r -> g.next().putRecord(r.bytes(), 0, r.bytes().length));
            return e.encodedLength();
        } else if (message instanceof PeerMessage.ConfigurationPoll m) {
            final byte[] zone = utf(m.zone());
            final byte[] address = utf(m.address());
            final byte[] name = utf(m.name());
            return new ConfigurationPollFrameEncoder()
                    .wrapAndApplyHeader(out, 0, headEnc)
                    .pollId(m.pollId())
                    .node(m.node())
                    .role((short) m.role())
                    .configurationVersion(m.configurationVersion())
                    .metadataVersion(m.metadataVersion())
                    .drain(bit(m.drain()))
                    .relay(bit(m.relay()))
                    .wall(m.wall())
                    .machine(m.machine())
                    .putZone(zone, 0, zone.length)
                    .putAddress(address, 0, address.length)
                    .putName(name, 0, name.length)
                    .encodedLength();
        } else if (message instanceof PeerMessage.ConfigurationReply m) {
            return new ConfigurationReplyFrameEncoder()
                    .wrapAndApplyHeader(out, 0, headEnc)
                    .pollId(m.pollId())
                    .leader(bit(m.leader()))
                    .leaderHint(m.leaderHint())
                    .term(m.term())
                    .configurationVersion(m.configurationVersion())
                    .metadataVersion(m.metadataVersion())
                    .node(m.node())
                    .wall(m.wall())
                    .putConfiguration(m.configuration(), 0, m.configuration().length)
                    .putMetadata(m.metadata(), 0, m.metadata().length)
                    .encodedLength();
        } else if (message instanceof PeerMessage.ControlRequest m) {
            final byte[] kind = utf(m.kind());
            return new OpFrameEncoder()
                    .wrapAndApplyHeader(out, 0, headEnc)
                    .requestId(m.requestId())
                    .putKind(kind, 0, kind.length)
                    .putBody(m.body(), 0, m.body().length)
                    .encodedLength();
        } else if (message instanceof PeerMessage.ControlReply m) {
            return new OpReplyFrameEncoder()
                    .wrapAndApplyHeader(out, 0, headEnc)
                    .requestId(m.requestId())
                    .status(m.status())
                    .retryAfterMs(m.retryAfterMs())
                    .putBody(m.body(), 0, m.body().length)
                    .encodedLength();
        } else if (message instanceof PeerMessage.ListenerReport m) {
            final ListenFrameEncoder e = new ListenFrameEncoder()
                    .wrapAndApplyHeader(out, 0, headEnc)
                    .group(m.group())
                    .edition(m.edition())
                    .onto(m.onto());
            final ListenFrameEncoder.CountsEncoder g = e.countsCount(m.counts().size());
            m.counts().forEach(c -> g.next().sessions(c.count()).putTopic(utf(c.topic()), 0, utf(c.topic()).length));
            return e.encodedLength();
        } else if (message instanceof PeerMessage.ListenerCountRequest m) {
            final byte[] topic = utf(m.topic());
            return new CountAskFrameEncoder()
                    .wrapAndApplyHeader(out, 0, headEnc)
                    .requestId(m.requestId())
                    .group(m.group())
                    .putTopic(topic, 0, topic.length)
                    .encodedLength();
        } else if (message instanceof PeerMessage.ListenerCountReply m) {
            return new CountReplyFrameEncoder()
                    .wrapAndApplyHeader(out, 0, headEnc)
                    .requestId(m.requestId())
                    .status((short) m.status())
                    .count(m.count())
                    .encodedLength();
        }
        if (message instanceof PeerMessage.TimeoutNow m) {
            return new StandNowFrameEncoder()
                    .wrapAndApplyHeader(out, 0, headEnc)
                    .group(m.group())
                    .term(m.term())
                    .encodedLength();
        }
        throw new IllegalArgumentException("no frame for " + message.getClass());
    }

    /** Throws a RuntimeException for a frame that is malformed in any way. */
    public PeerMessage decode(final byte[] bytes, final int off, final int len) {
        in.wrap(bytes, off, len);
        headDec.wrap(in, 0);
        if (headDec.schemaId() != MessageHeaderDecoder.SCHEMA_ID
                || headDec.version() != MessageHeaderDecoder.SCHEMA_VERSION) {
            throw new IllegalArgumentException("unknown schema " + headDec.schemaId() + "/" + headDec.version());
        }
        switch (headDec.templateId()) {
            case HeartbeatFrameDecoder.TEMPLATE_ID -> {
                final HeartbeatFrameDecoder d = new HeartbeatFrameDecoder().wrapAndApplyHeader(in, 0, headDec);
                final long known = d.known();
                final boolean same = d.same() == 1;
                final List<PeerMessage.HeartbeatEntry> list = new ArrayList<>();
                for (final HeartbeatFrameDecoder.EntriesDecoder g : d.entries()) {
                    list.add(new PeerMessage.HeartbeatEntry(
                            g.group(),
                            g.groupVersion(),
                            g.term(),
                            g.role(),
                            g.sync(),
                            g.startIndex(),
                            g.endIndex(),
                            g.endTerm(),
                            g.committed(),
                            g.leaderHeard(),
                            g.weight()));
                }
                return new PeerMessage.Heartbeat(d.reply() == 1, d.id(), d.stamp(), known, same, List.copyOf(list));
            }
            case VoteAskFrameDecoder.TEMPLATE_ID -> {
                final VoteAskFrameDecoder d = new VoteAskFrameDecoder().wrapAndApplyHeader(in, 0, headDec);
                return new PeerMessage.VoteRequest(
                        d.group(),
                        d.groupVersion(),
                        d.term(),
                        d.endIndex(),
                        d.endTerm(),
                        d.weight(),
                        d.goes(),
                        d.manual() == 1);
            }
            case VoteReplyFrameDecoder.TEMPLATE_ID -> {
                final VoteReplyFrameDecoder d = new VoteReplyFrameDecoder().wrapAndApplyHeader(in, 0, headDec);
                return new PeerMessage.VoteReply(
                        d.group(), d.term(), d.granted() == 1, d.termSeen(), str(data(d.whyLength(), d::getWhy)));
            }
            case PullFrameDecoder.TEMPLATE_ID -> {
                final PullFrameDecoder d = new PullFrameDecoder().wrapAndApplyHeader(in, 0, headDec);
                return new PeerMessage.Pull(
                        d.group(),
                        d.groupVersion(),
                        d.term(),
                        d.nextIndex(),
                        d.prevTerm(),
                        d.syncedIndex(),
                        d.syncedTerm(),
                        d.committed(),
                        d.lost() == 1,
                        d.chain(),
                        d.snapshotSum(),
                        d.snapshotOffset());
            }
            case PullReplyFrameDecoder.TEMPLATE_ID -> {
                final PullReplyFrameDecoder d = new PullReplyFrameDecoder().wrapAndApplyHeader(in, 0, headDec);
                final List<LogRecord> records = new ArrayList<>();
                for (final PullReplyFrameDecoder.RecordsDecoder g : d.records()) {
                    records.add(logRecord(data(g.recordLength(), g::getRecord)));
                }
                return new PeerMessage.PullReply(
                        d.group(),
                        d.groupVersion(),
                        d.term(),
                        d.kind(),
                        d.standing(),
                        d.committed(),
                        d.askedIndex(),
                        d.askedTerm(),
                        d.tryIndex(),
                        data(d.snapshotLength(), d::getSnapshot),
                        records,
                        d.snapshotSum(),
                        d.snapshotTotal(),
                        d.snapshotOffset());
            }
            case PublishFrameDecoder.TEMPLATE_ID -> {
                final PublishFrameDecoder d = new PublishFrameDecoder().wrapAndApplyHeader(in, 0, headDec);
                return new PeerMessage.Publish(
                        d.requestId(),
                        d.group(),
                        d.configurationVersion(),
                        d.seq(),
                        str(data(d.tenantLength(), d::getTenant)),
                        str(data(d.topicLength(), d::getTopic)),
                        str(data(d.senderLength(), d::getSender)),
                        str(data(d.textLength(), d::getText)));
            }
            case PublishReplyFrameDecoder.TEMPLATE_ID -> {
                final PublishReplyFrameDecoder d = new PublishReplyFrameDecoder().wrapAndApplyHeader(in, 0, headDec);
                return new PeerMessage.PublishReply(
                        d.requestId(),
                        d.outcome(),
                        d.position(),
                        d.leaderHint(),
                        d.term(),
                        str(data(d.whyLength(), d::getWhy)));
            }
            case FetchFrameDecoder.TEMPLATE_ID -> {
                final FetchFrameDecoder d = new FetchFrameDecoder().wrapAndApplyHeader(in, 0, headDec);
                final List<PeerMessage.TopicPosition> topics = new ArrayList<>();
                for (final FetchFrameDecoder.TopicsDecoder g : d.topics()) {
                    topics.add(new PeerMessage.TopicPosition(str(data(g.topicLength(), g::getTopic)), g.from()));
                }
                return new PeerMessage.Fetch(
                        d.requestId(), d.group(), d.tail() == 1, d.hold() == 1, d.at(), d.edition(), topics);
            }
            case FetchReplyFrameDecoder.TEMPLATE_ID -> {
                final FetchReplyFrameDecoder d = new FetchReplyFrameDecoder().wrapAndApplyHeader(in, 0, headDec);
                final List<String> gone = new ArrayList<>();
                for (final FetchReplyFrameDecoder.GoneDecoder g : d.gone()) {
                    gone.add(str(data(g.topicLength(), g::getTopic)));
                }
                final List<LogRecord> records = new ArrayList<>();
                for (final FetchReplyFrameDecoder.RecordsDecoder g : d.records()) {
                    records.add(logRecord(data(g.recordLength(), g::getRecord)));
                }
                return new PeerMessage.FetchReply(d.requestId(), d.group(), d.status(), d.scannedTo(), gone, records);
            }
            case ConfigurationPollFrameDecoder.TEMPLATE_ID -> {
                final ConfigurationPollFrameDecoder d =
                        new ConfigurationPollFrameDecoder().wrapAndApplyHeader(in, 0, headDec);
                return new PeerMessage.ConfigurationPoll(
                        d.pollId(),
                        d.node(),
                        d.role(),
                        str(data(d.zoneLength(), d::getZone)),
                        str(data(d.addressLength(), d::getAddress)),
                        str(data(d.nameLength(), d::getName)),
                        d.configurationVersion(),
                        d.metadataVersion(),
                        d.drain() == 1,
                        d.relay() == 1,
                        d.wall(),
                        d.machine());
            }
            case ConfigurationReplyFrameDecoder.TEMPLATE_ID -> {
                final ConfigurationReplyFrameDecoder d =
                        new ConfigurationReplyFrameDecoder().wrapAndApplyHeader(in, 0, headDec);
                return new PeerMessage.ConfigurationReply(
                        d.pollId(),
                        d.leader() == 1,
                        d.leaderHint(),
                        d.term(),
                        d.configurationVersion(),
                        data(d.configurationLength(), d::getConfiguration),
                        d.metadataVersion(),
                        data(d.metadataLength(), d::getMetadata),
                        d.node(),
                        d.wall());
            }
            case OpFrameDecoder.TEMPLATE_ID -> {
                final OpFrameDecoder d = new OpFrameDecoder().wrapAndApplyHeader(in, 0, headDec);
                return new PeerMessage.ControlRequest(
                        d.requestId(), str(data(d.kindLength(), d::getKind)), data(d.bodyLength(), d::getBody));
            }
            case OpReplyFrameDecoder.TEMPLATE_ID -> {
                final OpReplyFrameDecoder d = new OpReplyFrameDecoder().wrapAndApplyHeader(in, 0, headDec);
                return new PeerMessage.ControlReply(
                        d.requestId(), d.status(), d.retryAfterMs(), data(d.bodyLength(), d::getBody));
            }
            case ListenFrameDecoder.TEMPLATE_ID -> {
                final ListenFrameDecoder d = new ListenFrameDecoder().wrapAndApplyHeader(in, 0, headDec);
                final List<PeerMessage.TopicCount> counts = new ArrayList<>();
                for (final ListenFrameDecoder.CountsDecoder g : d.counts()) {
                    counts.add(new PeerMessage.TopicCount(str(data(g.topicLength(), g::getTopic)), g.sessions()));
                }
                return new PeerMessage.ListenerReport(d.group(), d.edition(), d.onto(), counts);
            }
            case CountAskFrameDecoder.TEMPLATE_ID -> {
                final CountAskFrameDecoder d = new CountAskFrameDecoder().wrapAndApplyHeader(in, 0, headDec);
                return new PeerMessage.ListenerCountRequest(
                        d.requestId(), d.group(), str(data(d.topicLength(), d::getTopic)));
            }
            case CountReplyFrameDecoder.TEMPLATE_ID -> {
                final CountReplyFrameDecoder d = new CountReplyFrameDecoder().wrapAndApplyHeader(in, 0, headDec);
                return new PeerMessage.ListenerCountReply(d.requestId(), d.status(), d.count());
            }
            case StandNowFrameDecoder.TEMPLATE_ID -> {
                final StandNowFrameDecoder d = new StandNowFrameDecoder().wrapAndApplyHeader(in, 0, headDec);
                return new PeerMessage.TimeoutNow(d.group(), d.term());
            }
            default -> throw new IllegalArgumentException("unknown template " + headDec.templateId());
        }
    }

    private interface Field {
        int get(byte[] dst, int off, int len);
    }

    private byte[] data(final int len, final Field field) {
        // why: the length comes from outside; it must not make us set aside more than the frame holds
        if (len < 0 || len > in.capacity()) {
            throw new IllegalArgumentException("field of " + len + " bytes in a frame of " + in.capacity());
        }
        final byte[] bytes = new byte[len];
        field.get(bytes, 0, len);
        return bytes;
    }

    private static LogRecord logRecord(final byte[] bytes) {
        return LogRecord.checked(bytes, 0);
    }

    private static String str(final byte[] bytes) {
        return new String(bytes, UTF_8);
    }

    private static byte[] utf(final String s) {
        return s.getBytes(UTF_8);
    }

    private static short bit(final boolean b) {
        return (short) (b ? 1 : 0);
    }
}

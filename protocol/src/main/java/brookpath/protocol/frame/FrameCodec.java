package brookpath.protocol.frame;

import static java.nio.charset.StandardCharsets.UTF_8;

import brookpath.coordination.message.Msg;
import brookpath.protocol.sbe.BeatFrameDecoder;
import brookpath.protocol.sbe.BeatFrameEncoder;
import brookpath.protocol.sbe.CountAskFrameDecoder;
import brookpath.protocol.sbe.CountAskFrameEncoder;
import brookpath.protocol.sbe.CountReplyFrameDecoder;
import brookpath.protocol.sbe.CountReplyFrameEncoder;
import brookpath.protocol.sbe.FetchFrameDecoder;
import brookpath.protocol.sbe.FetchFrameEncoder;
import brookpath.protocol.sbe.FetchReplyFrameDecoder;
import brookpath.protocol.sbe.FetchReplyFrameEncoder;
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
import brookpath.protocol.sbe.SpecPollFrameDecoder;
import brookpath.protocol.sbe.SpecPollFrameEncoder;
import brookpath.protocol.sbe.SpecReplyFrameDecoder;
import brookpath.protocol.sbe.SpecReplyFrameEncoder;
import brookpath.protocol.sbe.StandNowFrameDecoder;
import brookpath.protocol.sbe.StandNowFrameEncoder;
import brookpath.protocol.sbe.VoteAskFrameDecoder;
import brookpath.protocol.sbe.VoteAskFrameEncoder;
import brookpath.protocol.sbe.VoteReplyFrameDecoder;
import brookpath.protocol.sbe.VoteReplyFrameEncoder;
import brookpath.state.record.Rec;
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

    public byte[] encode(final Msg msg) {
        final int len = MessageHeaderEncoder.ENCODED_LENGTH + body(msg);
        final byte[] bytes = new byte[len];
        out.getBytes(0, bytes);
        if (out.capacity() > 1 << 20) {
            // why: one full sync must not hold its memory for ever
            out = new ExpandableArrayBuffer(1024);
        }
        return bytes;
    }

    private int body(final Msg msg) {
        if (msg instanceof Msg.Beat m) {
            final BeatFrameEncoder e = new BeatFrameEncoder()
                    .wrapAndApplyHeader(out, 0, headEnc)
                    .reply(bit(m.reply()))
                    .id(m.id())
                    .stamp(m.stamp())
                    .known(m.known())
                    .same(bit(m.same()));
            final BeatFrameEncoder.EntriesEncoder g = e.entriesCount(m.entries().size());
            for (final Msg.BeatEntry b : m.entries()) {
                g.next()
                        .group(b.group())
                        .groupVersion(b.groupVersion())
                        .epoch(b.epoch())
                        .role((short) b.role())
                        .sync((short) b.sync())
                        .startLsn(b.startLsn())
                        .endLsn(b.endLsn())
                        .endEpoch(b.endEpoch())
                        .accepted(b.accepted())
                        .masterHeard(b.masterHeard())
                        .weight(b.weight());
            }
            return e.encodedLength();
        } else if (msg instanceof Msg.VoteAsk m) {
            return new VoteAskFrameEncoder()
                    .wrapAndApplyHeader(out, 0, headEnc)
                    .group(m.group())
                    .groupVersion(m.groupVersion())
                    .epoch(m.epoch())
                    .endLsn(m.endLsn())
                    .endEpoch(m.endEpoch())
                    .weight(m.weight())
                    .goes(m.goes())
                    .manual(bit(m.manual()))
                    .encodedLength();
        } else if (msg instanceof Msg.VoteReply m) {
            final VoteReplyFrameEncoder e = new VoteReplyFrameEncoder()
                    .wrapAndApplyHeader(out, 0, headEnc)
                    .group(m.group())
                    .epoch(m.epoch())
                    .granted(bit(m.granted()))
                    .epochSeen(m.epochSeen());
            final byte[] why = utf(m.why());
            return e.putWhy(why, 0, why.length).encodedLength();
        } else if (msg instanceof Msg.Pull m) {
            return new PullFrameEncoder()
                    .wrapAndApplyHeader(out, 0, headEnc)
                    .group(m.group())
                    .groupVersion(m.groupVersion())
                    .epoch(m.epoch())
                    .nextLsn(m.nextLsn())
                    .prevEpoch(m.prevEpoch())
                    .syncedLsn(m.syncedLsn())
                    .syncedEpoch(m.syncedEpoch())
                    .accepted(m.accepted())
                    .lost(bit(m.lost()))
                    .chain(m.chain())
                    .imageSum(m.imageSum())
                    .imageOffset(m.imageOffset())
                    .encodedLength();
        } else if (msg instanceof Msg.PullReply m) {
            final PullReplyFrameEncoder e = new PullReplyFrameEncoder()
                    .wrapAndApplyHeader(out, 0, headEnc)
                    .group(m.group())
                    .groupVersion(m.groupVersion())
                    .epoch(m.epoch())
                    .kind((short) m.kind())
                    .standing((short) m.standing())
                    .accepted(m.accepted())
                    .askedLsn(m.askedLsn())
                    .askedEpoch(m.askedEpoch())
                    .tryLsn(m.tryLsn())
                    .imageSum(m.imageSum())
                    .imageTotal(m.imageTotal())
                    .imageOffset(m.imageOffset());
            final PullReplyFrameEncoder.RecsEncoder g = e.recsCount(m.recs().size());
            m.recs().forEach(r -> g.next().putRec(r.bytes(), 0, r.bytes().length));
            return e.putImage(m.image(), 0, m.image().length).encodedLength();
        } else if (msg instanceof Msg.Publish m) {
            final PublishFrameEncoder e = new PublishFrameEncoder()
                    .wrapAndApplyHeader(out, 0, headEnc)
                    .jobId(m.jobId())
                    .group(m.group())
                    .specVersion(m.specVersion())
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
        } else if (msg instanceof Msg.PublishReply m) {
            final byte[] why = utf(m.why());
            return new PublishReplyFrameEncoder()
                    .wrapAndApplyHeader(out, 0, headEnc)
                    .jobId(m.jobId())
                    .outcome((short) m.outcome())
                    .position(m.position())
                    .masterHint(m.masterHint())
                    .epoch(m.epoch())
                    .putWhy(why, 0, why.length)
                    .encodedLength();
        } else if (msg instanceof Msg.Fetch m) {
            final FetchFrameEncoder e = new FetchFrameEncoder()
                    .wrapAndApplyHeader(out, 0, headEnc)
                    .jobId(m.jobId())
                    .group(m.group())
                    .tail(bit(m.tail()))
                    .hold(bit(m.hold()))
                    .at(m.at())
                    .edition(m.edition());
            final FetchFrameEncoder.TopicsEncoder g = e.topicsCount(m.topics().size());
            m.topics().forEach(t -> g.next().from(t.from()).putTopic(utf(t.topic()), 0, utf(t.topic()).length));
            return e.encodedLength();
        } else if (msg instanceof Msg.FetchReply m) {
            final FetchReplyFrameEncoder e = new FetchReplyFrameEncoder()
                    .wrapAndApplyHeader(out, 0, headEnc)
                    .jobId(m.jobId())
                    .group(m.group())
                    .status((short) m.status())
                    .scannedTo(m.scannedTo());
            final FetchReplyFrameEncoder.GoneEncoder gone = e.goneCount(m.gone().size());
            m.gone().forEach(t -> gone.next().putTopic(utf(t), 0, utf(t).length));
            final FetchReplyFrameEncoder.RecsEncoder g = e.recsCount(m.recs().size());
            m.recs().forEach(r -> g.next().putRec(r.bytes(), 0, r.bytes().length));
            return e.encodedLength();
        } else if (msg instanceof Msg.SpecPoll m) {
            final byte[] zone = utf(m.zone());
            final byte[] address = utf(m.address());
            final byte[] name = utf(m.name());
            return new SpecPollFrameEncoder()
                    .wrapAndApplyHeader(out, 0, headEnc)
                    .pollId(m.pollId())
                    .node(m.node())
                    .role((short) m.role())
                    .specVersion(m.specVersion())
                    .rosterVersion(m.rosterVersion())
                    .drain(bit(m.drain()))
                    .relay(bit(m.relay()))
                    .wall(m.wall())
                    .machine(m.machine())
                    .putZone(zone, 0, zone.length)
                    .putAddress(address, 0, address.length)
                    .putName(name, 0, name.length)
                    .encodedLength();
        } else if (msg instanceof Msg.SpecReply m) {
            return new SpecReplyFrameEncoder()
                    .wrapAndApplyHeader(out, 0, headEnc)
                    .pollId(m.pollId())
                    .master(bit(m.master()))
                    .masterHint(m.masterHint())
                    .epoch(m.epoch())
                    .specVersion(m.specVersion())
                    .rosterVersion(m.rosterVersion())
                    .node(m.node())
                    .wall(m.wall())
                    .putSpec(m.spec(), 0, m.spec().length)
                    .putRoster(m.roster(), 0, m.roster().length)
                    .encodedLength();
        } else if (msg instanceof Msg.Op m) {
            final byte[] kind = utf(m.kind());
            return new OpFrameEncoder()
                    .wrapAndApplyHeader(out, 0, headEnc)
                    .jobId(m.jobId())
                    .putKind(kind, 0, kind.length)
                    .putBody(m.body(), 0, m.body().length)
                    .encodedLength();
        } else if (msg instanceof Msg.OpReply m) {
            return new OpReplyFrameEncoder()
                    .wrapAndApplyHeader(out, 0, headEnc)
                    .jobId(m.jobId())
                    .status(m.status())
                    .retryAfterMs(m.retryAfterMs())
                    .putBody(m.body(), 0, m.body().length)
                    .encodedLength();
        } else if (msg instanceof Msg.Listen m) {
            final ListenFrameEncoder e = new ListenFrameEncoder()
                    .wrapAndApplyHeader(out, 0, headEnc)
                    .group(m.group())
                    .edition(m.edition())
                    .onto(m.onto());
            final ListenFrameEncoder.CountsEncoder g = e.countsCount(m.counts().size());
            m.counts().forEach(c -> g.next().sessions(c.count()).putTopic(utf(c.topic()), 0, utf(c.topic()).length));
            return e.encodedLength();
        } else if (msg instanceof Msg.CountAsk m) {
            final byte[] topic = utf(m.topic());
            return new CountAskFrameEncoder()
                    .wrapAndApplyHeader(out, 0, headEnc)
                    .jobId(m.jobId())
                    .group(m.group())
                    .putTopic(topic, 0, topic.length)
                    .encodedLength();
        } else if (msg instanceof Msg.CountReply m) {
            return new CountReplyFrameEncoder()
                    .wrapAndApplyHeader(out, 0, headEnc)
                    .jobId(m.jobId())
                    .status((short) m.status())
                    .count(m.count())
                    .encodedLength();
        }
        if (msg instanceof Msg.StandNow m) {
            return new StandNowFrameEncoder()
                    .wrapAndApplyHeader(out, 0, headEnc)
                    .group(m.group())
                    .epoch(m.epoch())
                    .encodedLength();
        }
        throw new IllegalArgumentException("no frame for " + msg.getClass());
    }

    /** Throws a RuntimeException for a frame that is malformed in any way. */
    public Msg decode(final byte[] bytes, final int off, final int len) {
        in.wrap(bytes, off, len);
        headDec.wrap(in, 0);
        if (headDec.schemaId() != MessageHeaderDecoder.SCHEMA_ID
                || headDec.version() != MessageHeaderDecoder.SCHEMA_VERSION) {
            throw new IllegalArgumentException("unknown schema " + headDec.schemaId() + "/" + headDec.version());
        }
        switch (headDec.templateId()) {
            case BeatFrameDecoder.TEMPLATE_ID -> {
                final BeatFrameDecoder d = new BeatFrameDecoder().wrapAndApplyHeader(in, 0, headDec);
                final long known = d.known();
                final boolean same = d.same() == 1;
                final List<Msg.BeatEntry> list = new ArrayList<>();
                for (final BeatFrameDecoder.EntriesDecoder g : d.entries()) {
                    list.add(new Msg.BeatEntry(
                            g.group(),
                            g.groupVersion(),
                            g.epoch(),
                            g.role(),
                            g.sync(),
                            g.startLsn(),
                            g.endLsn(),
                            g.endEpoch(),
                            g.accepted(),
                            g.masterHeard(),
                            g.weight()));
                }
                return new Msg.Beat(d.reply() == 1, d.id(), d.stamp(), known, same, List.copyOf(list));
            }
            case VoteAskFrameDecoder.TEMPLATE_ID -> {
                final VoteAskFrameDecoder d = new VoteAskFrameDecoder().wrapAndApplyHeader(in, 0, headDec);
                return new Msg.VoteAsk(
                        d.group(),
                        d.groupVersion(),
                        d.epoch(),
                        d.endLsn(),
                        d.endEpoch(),
                        d.weight(),
                        d.goes(),
                        d.manual() == 1);
            }
            case VoteReplyFrameDecoder.TEMPLATE_ID -> {
                final VoteReplyFrameDecoder d = new VoteReplyFrameDecoder().wrapAndApplyHeader(in, 0, headDec);
                return new Msg.VoteReply(
                        d.group(), d.epoch(), d.granted() == 1, d.epochSeen(), str(data(d.whyLength(), d::getWhy)));
            }
            case PullFrameDecoder.TEMPLATE_ID -> {
                final PullFrameDecoder d = new PullFrameDecoder().wrapAndApplyHeader(in, 0, headDec);
                return new Msg.Pull(
                        d.group(),
                        d.groupVersion(),
                        d.epoch(),
                        d.nextLsn(),
                        d.prevEpoch(),
                        d.syncedLsn(),
                        d.syncedEpoch(),
                        d.accepted(),
                        d.lost() == 1,
                        d.chain(),
                        d.imageSum(),
                        d.imageOffset());
            }
            case PullReplyFrameDecoder.TEMPLATE_ID -> {
                final PullReplyFrameDecoder d = new PullReplyFrameDecoder().wrapAndApplyHeader(in, 0, headDec);
                final List<Rec> recs = new ArrayList<>();
                for (final PullReplyFrameDecoder.RecsDecoder g : d.recs()) {
                    recs.add(rec(data(g.recLength(), g::getRec)));
                }
                return new Msg.PullReply(
                        d.group(),
                        d.groupVersion(),
                        d.epoch(),
                        d.kind(),
                        d.standing(),
                        d.accepted(),
                        d.askedLsn(),
                        d.askedEpoch(),
                        d.tryLsn(),
                        data(d.imageLength(), d::getImage),
                        recs,
                        d.imageSum(),
                        d.imageTotal(),
                        d.imageOffset());
            }
            case PublishFrameDecoder.TEMPLATE_ID -> {
                final PublishFrameDecoder d = new PublishFrameDecoder().wrapAndApplyHeader(in, 0, headDec);
                return new Msg.Publish(
                        d.jobId(),
                        d.group(),
                        d.specVersion(),
                        d.seq(),
                        str(data(d.tenantLength(), d::getTenant)),
                        str(data(d.topicLength(), d::getTopic)),
                        str(data(d.senderLength(), d::getSender)),
                        str(data(d.textLength(), d::getText)));
            }
            case PublishReplyFrameDecoder.TEMPLATE_ID -> {
                final PublishReplyFrameDecoder d = new PublishReplyFrameDecoder().wrapAndApplyHeader(in, 0, headDec);
                return new Msg.PublishReply(
                        d.jobId(),
                        d.outcome(),
                        d.position(),
                        d.masterHint(),
                        d.epoch(),
                        str(data(d.whyLength(), d::getWhy)));
            }
            case FetchFrameDecoder.TEMPLATE_ID -> {
                final FetchFrameDecoder d = new FetchFrameDecoder().wrapAndApplyHeader(in, 0, headDec);
                final List<Msg.TopicAt> topics = new ArrayList<>();
                for (final FetchFrameDecoder.TopicsDecoder g : d.topics()) {
                    topics.add(new Msg.TopicAt(str(data(g.topicLength(), g::getTopic)), g.from()));
                }
                return new Msg.Fetch(d.jobId(), d.group(), d.tail() == 1, d.hold() == 1, d.at(), d.edition(), topics);
            }
            case FetchReplyFrameDecoder.TEMPLATE_ID -> {
                final FetchReplyFrameDecoder d = new FetchReplyFrameDecoder().wrapAndApplyHeader(in, 0, headDec);
                final List<String> gone = new ArrayList<>();
                for (final FetchReplyFrameDecoder.GoneDecoder g : d.gone()) {
                    gone.add(str(data(g.topicLength(), g::getTopic)));
                }
                final List<Rec> recs = new ArrayList<>();
                for (final FetchReplyFrameDecoder.RecsDecoder g : d.recs()) {
                    recs.add(rec(data(g.recLength(), g::getRec)));
                }
                return new Msg.FetchReply(d.jobId(), d.group(), d.status(), d.scannedTo(), gone, recs);
            }
            case SpecPollFrameDecoder.TEMPLATE_ID -> {
                final SpecPollFrameDecoder d = new SpecPollFrameDecoder().wrapAndApplyHeader(in, 0, headDec);
                return new Msg.SpecPoll(
                        d.pollId(),
                        d.node(),
                        d.role(),
                        str(data(d.zoneLength(), d::getZone)),
                        str(data(d.addressLength(), d::getAddress)),
                        str(data(d.nameLength(), d::getName)),
                        d.specVersion(),
                        d.rosterVersion(),
                        d.drain() == 1,
                        d.relay() == 1,
                        d.wall(),
                        d.machine());
            }
            case SpecReplyFrameDecoder.TEMPLATE_ID -> {
                final SpecReplyFrameDecoder d = new SpecReplyFrameDecoder().wrapAndApplyHeader(in, 0, headDec);
                return new Msg.SpecReply(
                        d.pollId(),
                        d.master() == 1,
                        d.masterHint(),
                        d.epoch(),
                        d.specVersion(),
                        data(d.specLength(), d::getSpec),
                        d.rosterVersion(),
                        data(d.rosterLength(), d::getRoster),
                        d.node(),
                        d.wall());
            }
            case OpFrameDecoder.TEMPLATE_ID -> {
                final OpFrameDecoder d = new OpFrameDecoder().wrapAndApplyHeader(in, 0, headDec);
                return new Msg.Op(d.jobId(), str(data(d.kindLength(), d::getKind)), data(d.bodyLength(), d::getBody));
            }
            case OpReplyFrameDecoder.TEMPLATE_ID -> {
                final OpReplyFrameDecoder d = new OpReplyFrameDecoder().wrapAndApplyHeader(in, 0, headDec);
                return new Msg.OpReply(d.jobId(), d.status(), d.retryAfterMs(), data(d.bodyLength(), d::getBody));
            }
            case ListenFrameDecoder.TEMPLATE_ID -> {
                final ListenFrameDecoder d = new ListenFrameDecoder().wrapAndApplyHeader(in, 0, headDec);
                final List<Msg.TopicCount> counts = new ArrayList<>();
                for (final ListenFrameDecoder.CountsDecoder g : d.counts()) {
                    counts.add(new Msg.TopicCount(str(data(g.topicLength(), g::getTopic)), g.sessions()));
                }
                return new Msg.Listen(d.group(), d.edition(), d.onto(), counts);
            }
            case CountAskFrameDecoder.TEMPLATE_ID -> {
                final CountAskFrameDecoder d = new CountAskFrameDecoder().wrapAndApplyHeader(in, 0, headDec);
                return new Msg.CountAsk(d.jobId(), d.group(), str(data(d.topicLength(), d::getTopic)));
            }
            case CountReplyFrameDecoder.TEMPLATE_ID -> {
                final CountReplyFrameDecoder d = new CountReplyFrameDecoder().wrapAndApplyHeader(in, 0, headDec);
                return new Msg.CountReply(d.jobId(), d.status(), d.count());
            }
            case StandNowFrameDecoder.TEMPLATE_ID -> {
                final StandNowFrameDecoder d = new StandNowFrameDecoder().wrapAndApplyHeader(in, 0, headDec);
                return new Msg.StandNow(d.group(), d.epoch());
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

    private static Rec rec(final byte[] bytes) {
        return Rec.checked(bytes, 0);
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

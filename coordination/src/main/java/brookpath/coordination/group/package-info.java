/**
 * Replication groups: Raft-like consensus on a log among a few members.
 * {@link brookpath.coordination.group.GroupMachine} is the API for other modules. Each rule is in the class named after
 * it: elections in LeaderElection, term and vote in VoteStore, the log in RaftLog, its replication in LogFetcher
 * (receiving) and LogAppender (sending), the commit rule in ReplicaProgress, the lease in LeaderLease, changes of
 * members in MembershipChange, MembershipPlan and MembershipDriver. RoleState owns the role and GroupStateMachine its
 * transitions.
 *
 * <p>All classes take (event, now) and add actions; none has a clock, I/O, threads or a random source of its own. The
 * state thread of the process owns the groups; messages and {@link brookpath.coordination.group.Membership} are
 * immutable.
 */
package brookpath.coordination.group;

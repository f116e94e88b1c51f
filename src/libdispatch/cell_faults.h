// Fault rates of a simulated cell.
#pragma once

namespace lavenderarch::testing {

/// Fault rates of a simulation. A value of N injects the fault with probability 1/N, in each step
/// for each owner, agent or minion unless noted otherwise; 0 disables it.
struct CellFaults
{
    int ownerCrash = 0;
    int agentRestart = 0;
    int minionCrash = 0;
    int otherKind = 0;      ///< per restart of a minion: its capacity is that of another kind
    int slowStop = 0;       ///< per stop: it takes 200 to 900 ms
    int agentPartition = 0; ///< the agent cannot reach the owner for 3 to 12 s
    int silentMinion = 0;   ///< the agent gets no answers from its minion for 0.3 to 3 s
    int delayedOrder = 0;   ///< per start order: it is executed up to 9 s late
    int lostCommit = 0;     ///< per commit: its answer is lost
    int lateReply = 0;      ///< per reply of the owner: it reaches the agent 1 to 6 s late
    int lateInbox = 0;      ///< the owner learns of changes of the inbox only after 1 to 4 s
    int lostHistory = 0;  ///< per time that it learns of changes: it reads all rows in their order
    int lostMessage = 0;  ///< per message of an agent: it is lost, or its reply
    int lateMessage = 0;  ///< per message of an agent: the next one overtakes it
    int lateCall = 0;     ///< per call to a minion: no answer; it is carried out up to 12 s late
    int lostAnswer = 0;   ///< per call to a minion: it is carried out, but its answer is lost
    int lostCheckIns = 0; ///< per minion: its check-ins are lost for 3 to 20 s
    int cancel = 0;
};

} // namespace lavenderarch::testing

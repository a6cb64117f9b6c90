// Time between the messages of a follower to the scheduling daemon.
//
// Callers learn the end of a job from whichever daemon they ask, so that this time is part of what they wait. Every
// message costs the scheduling daemon processor time: the fewer followers it has, and the stronger it is, the more
// often each of them may ask. Answers loads of many short jobs, whose callers wait for little more than the work
// itself.
#pragma once

namespace lacewing::daemon {

// share: cores that the scheduling daemon may use. Between the shortest period and longestMs.
int syncPeriodMs(int followers, double share, int longestMs);

} // namespace lacewing::daemon

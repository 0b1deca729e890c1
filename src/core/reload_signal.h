// Keeps a SIGHUP that arrives during the start of a daemon until the daemon
// handles it. Its default action would end the process.
//
//   int main() {
//     DeferReloadSignal();  // before any thread starts
//     ...
//     boost::asio::signal_set signals(io, SIGHUP);
//     AcceptReloadSignal();
//
// A process that is started with a blocked SIGHUP loses none at all.

#pragma once

namespace jujube {

// Blocks SIGHUP in the calling thread and in those that it starts.
void DeferReloadSignal();

// Unblocks SIGHUP in the calling thread, to which one that is pending is
// delivered at once. Call it after a handler is installed.
void AcceptReloadSignal();

}  // namespace jujube

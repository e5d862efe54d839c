// Scenarios: short scripts that are played against a whole proxy on loopback sockets, in one thread. The
// event loop of the proxy runs only while a line of the script waits for something, so the script determines
// the order of events.
//
// A line is `ACTOR VERB WORDS`; `#` begins a comment. Actors:
//   a, b, c       clients; a client connects when it is first named
//   m1.1, m2.1    the first connection that the proxy opened to member 1, or 2
//   d.1           the first connection to discovery
//   d2.1          the first connection to the discovery server that `proxy reload d2` names
//   o, o1, o2     operators, who call the admin server of the proxy
//   n, n1, n2     operators, who call the admin server of its successor
//   proxy         the process itself:
//                   close                    SIGTERM
//                   reload d2|nonsense|same  SIGHUP, with a deploy file of this kind
//                   wait over                until the proxy has ended
//                 and with `inherits_listening_socket`:
//                   upgrade                  a successor starts and becomes ready
//                   stop                     SIGTERM to the first process only
//                   die                      the first process is gone at once; without a successor it starts
//                   anew
// Verbs:
//   send WORDS    clients: startup, ssl, empty, bye, half (shuts its side down), hex:5100, ext (an extended
//   query),
//                          read:ID and write:ID with further tags (read:7,d=100,r=1),
//                          sql:TEXT (_ stands for a space), flood (4 MB of noise),
//                          big:ID:BYTES (a write with a text of that size)
//                 members: up, row:VALUE, unready:VALUE (without the end of the answer), large:BYTES,
//                          begin:BYTES (the head of a row of that size), some:BYTES (of its value; sent as
//                          the proxy reads), finish, lie (a row that is longer than its message), error:CODE,
//                          role:ROLE, at:MS
//                 operators: call:METHOD:PATH, part:TEXT (an incomplete call), hex:6768
//                 discovery: list:REVISION:full|changes:NAME=PHASE,... and status:CODE
//   expect WORDS  what has arrived, in this order; parameters and notices are skipped
//                 clients: N, up, row:VALUE, large:BYTES, empty, error:CODE, error:CODE:RETRY_AFTER,
//                          refused:advised (53300 with a Retry-After above 0), ready, end
//                 members: startup, query:PART (the statement contains it), end
//                 discovery: call:PART, end
//                 operators: status:CODE, says:PART (the body contains it), end
//   holding N     at least N bytes have arrived that no `expect` has consumed
//   holds CLIENT  for a member that streams a value which the client does not read: the proxy never buffers
//   more than
//                 its window of it, and stops reading from the member
//   behind        few messages have arrived so far
//   close         closes the connection (`close hard` resets it)
//   wait WORDS    here (the connection exists), or MILLISECONDS
#pragma once

#include <nlohmann/json.hpp>
#include <string>

struct ProxySetup {
    int members = 1;
    nlohmann::json settings = nlohmann::json::object();  // merged into the usual ones
    int descriptors = 1024;
    bool inherits_listening_socket =
        false;                  // the clients' socket is opened by the platform, not by the proxy
    bool members_known = true;  // from the deploy file, before discovery answers
    int list_revision = 1;      // of the members in the deploy file
};

inline ProxySetup two_members() {
    ProxySetup setup;
    setup.members = 2;
    return setup;
}

inline ProxySetup no_known_members() {
    ProxySetup setup;
    setup.members_known = false;
    return setup;
}

/// Plays a script; throws std::runtime_error with the line at fault where it does not go as written.
void play(const ProxySetup& setup, const std::string& script);

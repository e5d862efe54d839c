// Plays scenarios against a whole proxy on loopback sockets, in one thread: the proxy takes its turns only
// while a line of the scenario waits for something, so the order of things is the scenario's.
//
// A line is `ACTOR VERB WORDS`; `#` begins a comment. The actors:
//   a, b, c      clients; a client connects when it is first named
//   m1.1, m2.1   the first connection that member 1, or 2, was opened by the proxy
//   d.1          the first connection to discovery
//   d2.1         the same where discovery has moved to
//   o, o1, o2    operators, who connect to the proxy's door for them
//   n, n1, n2    operators at the door of the proxy's successor
//   proxy        `proxy close`: SIGTERM; `proxy reload d2|nonsense|same`: SIGHUP with such a file; `proxy
//   wait over`; where the clients' socket is passed on: `proxy upgrade` (a second process of it starts and is
//   ready),
//                `proxy stop` (SIGTERM to the first one), `proxy die` (the first one is gone
//                at once; where there is no second one, it starts anew)
// The verbs:
//   send WORDS   clients: startup, ssl, empty, bye, half (no more input), hex:5100, ext (an extended query),
//                read:ID or write:ID with further tags (read:7,d=100,r=1), sql:TEXT (_ stands for a space)
//                flood (4 MB of noise), big:ID:BYTES (a write with so much text in it)
//                members: up, row:VALUE, unready:VALUE (no end to it), large:BYTES, begin:BYTES (a row of so
//                many, the bytes follow), some:BYTES (of them; sent as the proxy takes them), finish, lie (a
//                row that is longer than its message), error:CODE, role:ROLE, at:MS; operators:
//                call:METHOD:PATH, part:TEXT (no end to it), hex:6768 discovery: list:REVISION:full|changes:
//                NAME=PHASE,... , status:CODE
//   expect WORDS what has come, in this order, skipping parameters and notices:
//                clients: N, up, row:VALUE, empty, error:CODE, error:CODE:ADVICE, refused:advised (53300,
//                some advice), ready, end members: startup, query:PART (the statement holds it), end;
//                discovery: call:PART, end
//                operators: status:CODE, says:PART (the answer's body holds it), end
//   holding N    at least N bytes have come that no `expect` has taken
//   holds CLIENT a member: of the value that it sends, which the client does not take, the proxy itself never
//                holds more than its window, and at last reads no more though more has come
//   close        closes the connection (`close hard` resets it)
//   wait WORDS   here (the connection exists), MILLISECONDS
#pragma once

#include <nlohmann/json.hpp>
#include <string>

struct Setup {
    int members = 1;
    nlohmann::json settings = nlohmann::json::object();  // laid over the usual ones
    int sockets = 1024;
    bool passed = false;  // the clients' socket is the platform's
    bool known = true;    // the members are known from the start
    int revision = 1;     // of the list known then
};

// Ends the process with a message where the scenario does not go as written.
void play(const char* name, const Setup& setup, const std::string& lines);

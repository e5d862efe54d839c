// The scenario language: short scripts that are played against a complete proxy on loopback sockets, in one
// thread. The proxy's event loop runs only while a line of the script waits, so the script determines the
// order of events.
//
// A line is one step, `ACTOR VERB [WORD ...]`. `#` begins a comment; empty lines are skipped.
//
// Actors:
//   a, b, c0      clients; any name that does not begin with d, n, o or u. Connect when they are first named
//   m1.1, m2.1    the first connection that the proxy opens to endpoint m1, or m2; m1.2 is the second to m1
//   d.1           the first connection that the proxy opens to discovery
//   d2.1          the first connection to the discovery server that `proxy reload d2` configures
//   o, o1, o2     operators: connections to the admin server of the proxy
//   n, n1, n2     operators: connections to the admin server of the successor
//   u, u1, u2     other processes of the proxy: connections to its hot restart socket
//   proxy         the proxy process
// A step of a connection that the proxy opens waits until that connection exists.
//
// Verbs of all actors but `proxy`:
//   send WORDS            sends the messages that the words stand for
//   expect WORDS          waits for messages and compares them with the words, in this order
//                         (ParameterStatus, notices and the like are skipped)
//   await_bytes N         waits until at least N bytes have arrived that no `expect` has consumed
//   expect_few_messages   checks that at most 200 responses of a client have arrived
//   check_backpressure CLIENT
//                         for an endpoint that streams a value which CLIENT does not read: checks that the
//                         proxy buffers no more than its window and stops reading from the endpoint
//   close                 closes the connection
//   close reset           closes the connection with a reset
//   wait connected        waits until the connection exists
//   wait MILLISECONDS     runs the event loop for this time
//
// Verbs of `proxy`:
//   sigterm               raises SIGTERM, which the proxy handles
//   reload d2             raises SIGHUP; the deploy file has the second discovery server's address
//   reload unchanged      raises SIGHUP; the deploy file has the original discovery address
//   reload invalid        raises SIGHUP; the deploy file has an invalid discovery address
//   wait stopped          waits until the proxy has ended
// With `inherits_listening_socket` also:
//   start_successor       starts a successor and waits until it is ready
//   launch_successor      starts a successor without waiting
//   wait successor        waits until it is ready
//   stop_predecessor      shuts down the first process only, as SIGTERM does
//   kill                  ends the first process at once; a new one starts if there is no successor
//
// Words of `send`, for all actors:
//   hex:5100                  these bytes
// for clients:
//   startup                   StartupMessage
//   ssl                       SSLRequest
//   read:ID[,TAG...]          a read with this request id and further tags, such as read:7,d=100,r=1;
//                             the deadline (d) is 60 s unless a tag sets it
//   write:ID[,TAG...]         a write, likewise
//   large_write:ID:BYTES      a write with a text of this size
//   sql:TEXT                  a query with this text; _ stands for a space
//   empty                     an empty query
//   extended_query            Parse and Sync, of the extended query protocol
//   terminate                 Terminate
//   half_close                shuts down the client's sending side
//   garbage                   4 MiB that are not a message
// for endpoints:
//   auth_ok                   AuthenticationOk, ParameterStatus `role` and ReadyForQuery
//   role:ROLE                 ParameterStatus `role`
//   applied_ms:POSITION       ParameterStatus `applied_ms`, the replication position
//   row:VALUE                 a complete response with this value
//   large:BYTES               a complete response with a value of this size
//   row_without_ready:VALUE   a response without its ReadyForQuery
//   row_header:BYTES          RowDescription and the header of a DataRow whose value has this size
//   value_bytes:BYTES         so many bytes of that value; sent as fast as the proxy reads them
//   command_complete          CommandComplete and ReadyForQuery, the end of a response
//   oversized_row             the header of a DataRow whose value is longer than its message
//   error:SQLSTATE            ErrorResponse and ReadyForQuery
// for discovery:
//   list:REVISION:full:NAME=PHASE,...      a complete endpoint list
//   list:REVISION:changes:NAME=PHASE,...   a list of the changed endpoints
//   status:CODE                            an HTTP response with this status and no body
// for operators:
//   request:METHOD:PATH       an HTTP request
//   partial:TEXT              an incomplete HTTP request
// for other processes:
//   line:JSON                 a line of the protocol between the processes
//
// Words of `expect`, for all actors:
//   end                       the proxy has closed the connection
// for clients:
//   N                         the response to SSLRequest: encryption is not supported
//   auth_ok                   AuthenticationOk
//   ready                     ReadyForQuery
//   row:VALUE                 DataRow with this value
//   large:BYTES               DataRow with a value of this size (about 1000 bytes or more)
//   empty                     EmptyQueryResponse
//   error:SQLSTATE            ErrorResponse with this SQLSTATE
//   error:SQLSTATE:MS         ErrorResponse with this Retry-After in milliseconds
//   rejected:retry_after      ErrorResponse 53300 with a Retry-After above 0
// for endpoints:
//   startup                   StartupMessage
//   query:PART                a query that contains this text
// for discovery:
//   poll:PART                 a poll whose method and path contain this text
//   poll:complete             a poll for the complete list
// for operators:
//   status:CODE               an HTTP response with this status
//   body:PART                 the body of that response contains this text
// for other processes:
//   line:PART                 a line that contains this text
#pragma once

#include <nlohmann/json.hpp>
#include <string>

struct ProxySetup {
    int endpoint_count = 1;
    nlohmann::json settings = nlohmann::json::object();  // merged into the default settings
    int descriptors = 1024;                              // limit of the process
    bool inherits_listening_socket = false;              // opened by the platform; allows hot restarts
    bool endpoints_known = true;                         // the deploy file lists the endpoints
    int list_revision = 1;                               // of that list
};

inline ProxySetup two_endpoints() {
    ProxySetup setup;
    setup.endpoint_count = 2;
    return setup;
}

inline ProxySetup no_known_endpoints() {
    ProxySetup setup;
    setup.endpoints_known = false;
    return setup;
}

/// Plays a script. Throws std::runtime_error with the line and the reason if a step fails.
void play(const ProxySetup& setup, const std::string& script);

Feature: Decisions about the memory, connections and time that peers take

  Scenario Outline: The order in which connections are closed
    Guards against callers with work in progress that are closed for clients that stay silent.
    Given connections of peers that are, in the order in which they began, "<peers>"
    When <count> of them are to be closed, at most those that are "<last>"
    Then the connections closed are "<closed>"

    Examples:
      | peers                                          | count | last    | closed                            |
      | idle working unfinished unopened unread        | 5     | working | unopened unfinished unread idle working |
      | idle working unfinished unopened unread        | 2     | working | unopened unfinished               |
      | idle working unfinished unopened unread        | 5     | unread  | unopened unfinished unread        |
      | idle working                                   | 2     | unread  | none                              |
      | trusted-unfinished unopened idle trusted-idle  | 4     | idle    | unopened idle trusted-unfinished trusted-idle |

  Scenario: Of connections with the same activity, the oldest are closed first
    Guards against peers at an ordinary pace that are closed for those that have stalled.
    Given connections of peers that are, in the order in which they began, "unfinished unfinished unfinished"
    When 2 of them are to be closed, at most those that are "unread"
    Then the first 2 connections are closed

  Scenario: Memory is made by closing unfinished peers, not by refusing the newest
    Guards against clients with unfinished messages that take the memory from all others.
    Given a memory budget of 1000 KB
    And peers that are "unfinished working idle", each with 300 KB
    When a new peer that is "unfinished" asks for 200 KB
    Then it gets the memory
    And the peers that are "unfinished" are closed, and no other
    And the budget counts 800 KB

  Scenario: A peer that would be the first to be closed is refused
    Guards against sessions that are closed for a client without one.
    Given a memory budget of 1000 KB
    And peers that are "idle idle idle", each with 300 KB
    When a new peer that is "unopened" asks for 200 KB
    Then it gets no memory
    And no peer is closed
    And the budget counts 900 KB

  Scenario: Work in progress is never closed for memory
    Guards against statements that are cut off after an endpoint has begun to run them.
    Given a memory budget of 1000 KB
    And peers that are "working working working", each with 300 KB
    When a new peer that is "working" asks for 200 KB
    Then it gets no memory
    And no peer is closed

  Scenario: A message of legal size is served by a process whose budget is smaller
    Guards against a single message within the limits that is refused without any load.
    Given a memory budget of 1000 KB
    When a new peer that is "working" asks for 4096 KB
    Then it gets the memory

  Scenario: What a closed peer held is not counted any more
    Guards against a budget that shrinks with every connection that ends.
    Given a memory budget of 1000 KB
    And peers that are "idle idle", each with 300 KB
    When the peers leave
    Then the budget counts 0 KB

  Scenario: A new connection takes the place of the oldest one without a session
    Guards against silent clients that take all connections of a port.
    Given a port for 32 connections
    And 32 connections are open that are "unopened"
    When another connection arrives
    Then the connection is admitted
    And the first 2 connections are closed

  Scenario: An idle session is closed for a new connection only if no other connection can be
    Guards against clients with sessions that keep all others out for ever, and against idle sessions, which may
    last long, that are closed before connections without one.
    Given a port for 32 connections
    And 31 connections are open that are "idle"
    And 1 connections are open that are "unfinished"
    When another connection arrives
    Then the connection is admitted
    And the connections closed so far are "unfinished"
    When another connection arrives
    Then the connection is admitted
    And the connections closed so far are "idle unfinished"

  Scenario: A connection is refused while all others have work in progress
    Guards against statements and transactions that are cut off for new connections.
    Given a port for 32 connections
    And 32 connections are open that are "working"
    When another connection arrives
    Then the connection is refused
    And no connection is closed

  Scenario: Connections of other VMs are counted apart
    Guards against clients on a port of VMs that take the connections of the VMs.
    Given a port for 32 connections and 4 trusted ones
    And 32 connections are open that are "idle"
    When 4 connections send a signed message
    And another connection arrives
    Then the connection is admitted
    And no connection is closed

  Scenario: Callers give way to a connection of a reserved port
    Guards against callers that take the descriptors that are reserved for other VMs and for probes.
    Given a port for 32 connections
    And 32 connections are open that are "idle"
    When a connection arrives at a reserved port
    Then the connection is admitted
    And the first 1 connections are closed

  Scenario Outline: The time that a message or an answer may take
    Guards against peers that send or read a byte now and then, for ever.
    Given a connection that is "<activity>" since <seconds> s with <kilobytes> KB
    Then it <verdict> closed for its time

    Examples:
      | activity   | seconds | kilobytes | verdict |
      | unfinished | 29      | 1         | is not  |
      | unfinished | 31      | 1         | is      |
      | unfinished | 60      | 1024      | is not  |
      | unfinished | 63      | 1024      | is      |
      | unread     | 31      | 1         | is      |
      | idle       | 86400   | 0         | is not  |
      | working    | 3600    | 0         | is not  |

  Scenario Outline: Limits follow from the memory and the descriptors of the settings
    Guards against limits that callers within the documented numbers reach, and against limits that exceed what
    the machine has.
    When a process has <memory> MB and <descriptors> descriptors
    Then its limits are at least <callers> callers and <control> connections at the control port
    And all its connections together need at most its descriptors and its memory

    Examples:
      | memory | descriptors | callers | control |
      | 152    | 1570        | 800     | 300     |
      | 256    | 1570        | 800     | 500     |
      | 1024   | 10989       | 4000    | 2000    |
      | 0      | 0           | 1200    | 1000    |
      | 80     | 400         | 100     | 80      |

  Scenario: Many closed connections write few log lines and are all counted
    Guards against a log that is filled by a flood of connections.
    Given a port for 32 connections
    When 1000 connections arrive that are "unopened"
    Then 968 of them were counted as closed
    And at most 2 log lines were written

  @sessions
  Scenario: A session keeps a bounded amount of text
    Guards against sessions that fill the memory with few, long names, below the limits of their number.
    Given a session "a" on "own"
    When "a" sets 4 values of 900 KB
    Then the last answer of "a" is a success
    When "a" sets 6 values of 900 KB
    Then the last answer of "a" is refused as "overloaded"
    When "a" sets 1 values of 1 KB
    Then the last answer of "a" is a success

  @sessions
  Scenario Outline: A connection to an endpoint is kept unless it has long session values
    Guards against values that stay in memory, for each connection to an endpoint, after their sessions.
    Given a session "a" on "own"
    When "a" sets a value of <size> KB and reads
    Then the last answer of "a" has rows
    And <count> connections to endpoints are kept

    Examples:
      | size | count |
      | 1    | 1     |
      | 900  | 0     |

  Scenario: A cancelled timer keeps nothing of its request
    Guards against long statements that stay in memory for their timeout after they were answered.
    When a timer with a long statement is cancelled
    Then nothing refers to the statement any more

  Scenario Outline: Bodies at the control port that would take much memory are refused
    Guards against a process that runs out of memory when it decodes one body of legal size.
    When <content> is posted to "<path>" at the control port
    Then the answer's status is <status>, and it <outcome> applied

    Examples:
      | content                                                  | path                     | status | outcome |
      | a document of 20000 routes and services and 2000 tenants | /Config.Replace          | 200    | is      |
      | a document with 2000000 empty objects                    | /Config.Replace          | 400    | is not  |
      | a document with 1500000 short texts                      | /Config.Replace          | 400    | is not  |
      | an announcement of 60 KB                                 | /Instances.Heartbeat/e1  | 200    | is      |
      | an announcement of 65 KB                                 | /Instances.Heartbeat/e1  | 400    | is not  |
      | an announcement of 65 KB                                 | /Instances.Deregister/e1 | 400    | is not  |

  Scenario: A planned stop does not cut off a caller whose statements have not been read yet
    Guards against pipelined statements that stay unanswered in a planned stop.
    Given a caller's session over a socket
    When two statements arrive and the first one is read
    And the idle connections are closed for a planned stop
    And another statement arrives
    Then the caller's other 2 statements are read

  Scenario Outline: A session in a transaction is working also in the middle of a message
    Guards against transactions that are cut off to make room for others. Once the idle timeout has failed the
    transaction, the message has its usual limit of time.
    Given a caller's session over a socket
    When its transaction is <state> and a part of a message arrives
    Then the caller is <activity>

    Examples:
      | state  | activity   |
      | open   | working    |
      | failed | unfinished |
      | idle   | unfinished |

  @sessions
  Scenario: Events show a part of a statement's id
    Guards against ids of up to 1 MB that fill the log.
    Given a session "a" on "own"
    When "a" sends a read with an id of 1000 KB
    Then the event of its answer has a subject of at most 108 characters

  Scenario: Log lines show a part of a statement's id
    Guards against log lines of 1 MB.
    Given a caller's session over a socket
    When a statement with an id of 1000 KB is still running at the end
    Then each log line has at most 200 characters

Feature: Planned stops of VMs end no statement without its answer

  # Guards against a statement that ran although the connection for its answer was already shut down.
  @caller_server
  Scenario: A statement that lies unread in the socket when idle sessions are closed is answered or not run
    Given a caller with an open session
    When a statement arrives in the iteration of the event loop that closes idle sessions
    Then every statement that ran was answered completely

  # Guards against a reset that destroys an answer which the caller has not received yet.
  @caller_server
  Scenario: An answer that is on its way survives the close although the next statement has arrived
    Given a caller with an open session
    And answers are larger than the sockets' buffers
    When the caller sends a statement, and the next one while it runs
    And the server begins to stop, and the statement ends
    Then the answer to the first statement is complete

  # Guards against one caller that does not read keeping all others without their last answers.
  @caller_server
  Scenario: Callers get their last answers although another one does not read
    Given 4 callers with running statements, of which one does not read
    When the server closes all connections
    Then each of the other callers got one complete answer
    And the server closed within 1 s

  # Guards against sessions that are cut off while they wait for a configuration to be opened.
  @caller_server
  Scenario: A session that waits to be opened is answered although idle sessions are closed
    Given openings wait
    When a caller opens a session
    And the server begins to stop and closes its idle sessions
    And the openings end
    Then the caller's opening was answered

  # Guards against sessions that are opened during a stop and closed before their first statement.
  @caller_server
  Scenario: A session that is opened during a stop is refused or serves its first statement
    When the server begins to stop
    And a caller opens a session and sends a statement at once
    Then the opening was refused or the statement was answered

  # Guards against new work at endpoints from statements that are read after a stop began.
  @sessions
  Scenario: A statement outside a transaction that is read late in a stop is refused as not run
    Given a session "a" on "own"
    When the VM accepts no new work
    And "a" sends "WRITE x 1"
    Then the last answer of "a" is refused as "draining"
    And 0 statements ran

  # Guards against statements and transactions that are cut off at the end of the grace period.
  @processes
  Scenario: Callers get a complete answer to each statement around planned stops of entry VMs
    When stop trials with the seeds "21 22" each stop 3 VMs once
    Then no trial found a broken guarantee

  # Guards against statements that a daemon forwarded to another VM and does not count as running.
  @processes
  Scenario: A statement that a daemon forwards to another VM is answered although the daemon is stopped
    Given a daemon in a fleet without a leader
    And the other VM answers after 3 s
    When a statement of the other VM's transaction is sent, and the daemon is stopped while it runs
    Then the request got a complete response

  # Guards against operators' changes that a daemon does not count as running.
  @processes
  Scenario: An operator's change is answered although the daemon that took it is stopped
    Given a daemon in a fleet without a leader
    When an operator's change is sent, and the daemon is stopped while it waits
    Then the request got a complete response

  # Guards against statements that are cut off when a daemon's limit for its stop has passed.
  @processes
  Scenario: A transaction's statement that runs when a daemon's time to stop is over is answered
    Given daemons with a stop limit of 1 s, and endpoints that take 4 s for a write
    When a transaction's write is sent 1.5 s after the daemon was told to stop
    Then the request got a complete response

  # Guards against control VMs that end while they wait for the control log.
  @processes
  Scenario: A declared configuration is answered although the control VM that took it is stopped
    Given a control VM in a fleet without a leader
    When a configuration is declared, and the control VM is stopped while it waits
    Then the request got a complete response

  # Guards against a process that ends because its settings changed while it was starting.
  Scenario: A request to reload the settings is ignored while a program is still loading
    When a program of the platform is loaded
    Then it ignores requests to reload before it loads its libraries

  # Guards against a reload signal that ends a process which has not installed its handlers yet.
  @processes
  Scenario: A VM that is told to reload its settings while it starts goes on starting
    Given an entry VM that has begun to load its modules
    When it is told to reload its settings
    Then it has not ended after 1 s

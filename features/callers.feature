@sessions
Feature: Callers' sessions on declared routes

  Scenario: A statement runs with its session's values although sessions share connections
    Given a session "a" on "own"
    And a session "b" on "own"
    When "a" sends "SET lang ga"
    And "b" sends "SET lang ml"
    And "a" sends "READ x"
    And "b" sends "READ x"
    And "a" sends "READ y"
    Then every statement of "a" ran with "lang" set to "ga"
    And every statement of "b" ran with "lang" set to "ml"
    And no session invariant was violated

  Scenario: A session without values gets a connection on which another session's values were reset
    Given a session "a" on "own"
    And a session "b" on "own"
    When "a" sends "SET lang ga"
    And "a" sends "READ x"
    And "b" sends "READ x"
    Then every statement of "b" ran with no values

  Scenario: Two sessions can prepare different statements under the same name
    Given a session "a" on "own"
    And a session "b" on "own"
    When "a" sends "PREPARE s READ one"
    And "b" sends "PREPARE s WRITE two"
    And "a" sends "EXECUTE s 1"
    And "b" sends "EXECUTE s 1 data"
    Then the last answer of "a" has rows
    And the last answer of "b" is a success
    And the endpoints committed 1 writes

  Scenario: A transaction stays on one connection and commits once
    Given a session "a" on "latest"
    When "a" sends "BEGIN"
    And "a" sends "READ x"
    And "a" sends "WRITE x 1"
    And "a" sends "COMMIT"
    Then the last answer of "a" is a success
    And the endpoints committed 1 writes
    And all statements of "a" ran inside a transaction of the primary

  Scenario: A transaction that is rolled back commits none of its writes
    Given a session "a" on "latest"
    When "a" sends "BEGIN"
    And "a" sends "WRITE x 1"
    And "a" sends "ROLLBACK"
    Then the last answer of "a" is a success
    And the endpoints committed 0 writes

  Scenario: A failed statement aborts its transaction, which can only be ended and commits nothing
    Given a session "a" on "latest"
    When "a" sends "BEGIN"
    And "a" sends "READ x"
    And the primary fails the next statement
    And "a" sends "WRITE x 1"
    And "a" sends "READ x"
    Then the last answer of "a" is refused as "bad_request"
    When "a" sends "COMMIT"
    Then the last answer of "a" is refused as "transaction_unknown"
    And the endpoints committed 0 writes

  Scenario: A single write whose reply is lost has an unknown outcome and is not retried
    Given a session "a" on "latest"
    When the primary's next reply is lost
    And "a" sends "WRITE x 1"
    Then the last answer of "a" is refused as "outcome_unknown"
    And the endpoints committed 1 writes

  Scenario: A commit whose reply is lost has an unknown outcome
    Given a session "a" on "latest"
    When "a" sends "BEGIN"
    And "a" sends "WRITE x 1"
    And the primary's next reply is lost
    And "a" sends "COMMIT"
    Then the last answer of "a" is refused as "outcome_unknown"

  Scenario: A lost reply inside a transaction is reported as an abort, not as an unknown outcome
    Given a session "a" on "latest"
    When "a" sends "BEGIN"
    And "a" sends "WRITE x 1"
    And the primary's next reply is lost
    And "a" sends "WRITE x 2"
    Then the last answer of "a" is refused as "transaction_unknown"
    And the endpoints committed 0 writes

  Scenario: A read whose reply is lost is retried on another endpoint
    Given a session "a" on "bounded"
    When every replica's next reply is lost
    And "a" sends "READ x"
    Then the last answer of "a" has rows

  Scenario: A session reads its own writes from an endpoint that has them although the replicas lag
    Given a session "a" on "own"
    When the replicas receive no commits
    And "a" sends "WRITE x 1"
    And "a" sends "READ x"
    Then the last answer of "a" has rows
    And the last read of "a" saw at least 1 commits

  Scenario: A read with a maximum age has to see only commits that are older than that age
    Given a session "a" on "bounded"
    And a session "b" on "latest"
    When the replicas receive no commits
    And "b" sends "WRITE x 1"
    And "a" sends "READ x"
    Then the last answer of "a" has rows
    When 3 s pass
    And "a" sends "READ x"
    Then the last read of "a" saw at least 1 commits

  Scenario: A read of the latest data runs in a transaction on the primary, never on a replica
    Given a session "a" on "latest"
    When "a" sends "READ x"
    Then all statements of "a" ran inside a transaction of the primary

  Scenario: A session with an unknown key is refused
    Given a session "a" on "own" with the key "nobody"
    Then "a" is refused as "key_refused"

  Scenario: A session on an unknown database is refused
    Given a session "a" on "nowhere"
    Then "a" is refused as "no_database"

  Scenario: The next statement of a connected caller is refused after its key was removed
    Given a session "a" on "own"
    When "a" sends "READ x"
    And version 2 removes the key "k1"
    And "a" sends "READ x"
    Then the last answer of "a" is refused as "key_refused"

  Scenario: An open transaction is rolled back after its key was removed
    Given a session "a" on "latest"
    When "a" sends "BEGIN"
    And "a" sends "WRITE x 1"
    And version 2 removes the key "k1"
    And "a" sends "COMMIT"
    Then the last answer of "a" is refused as "key_refused"
    And the endpoints committed 0 writes

  Scenario: A transaction can be committed after its route was removed
    Guards against transactions that can neither go on nor be committed once a configuration takes
    their route away: a change to a route applies from the next transaction.
    Given a session "a" on "latest"
    When "a" sends "BEGIN"
    And "a" sends "WRITE x 1"
    And version 2 removes the route "latest"
    And "a" sends "COMMIT"
    Then the last answer of "a" is a success
    And the endpoints committed 1 writes

  Scenario: The log position of a transaction is never taken for that of another group
    Guards against stale reads of a group: a transaction that was open while its route was moved to
    that group reported the position of its old primary as that of the new one.
    Given a session "a" on "latest"
    When "a" sends "BEGIN"
    And "a" sends "WRITE x 1"
    And version 2 moves the route "latest" to another group
    And "a" sends "READ x"
    And "a" sends "COMMIT"
    Then the last answer of "a" is a success
    And no log position of the other group is known

  Scenario: A statement of a session that has ended on the board is refused
    Guards against a commit that succeeds without the transaction's writes: the VM had answered an
    earlier statement that its controllers lost, and ended the session.
    Given a session "a" on "latest"
    When "a" disconnects
    And "a" sends "BEGIN"
    And "a" sends "WRITE x 1"
    And "a" sends "COMMIT"
    Then no statement of "a" succeeded
    And the endpoints committed 0 writes

  Scenario: A transaction that is idle for too long is ended and its writes are rolled back
    Given a session "a" on "latest"
    When "a" sends "BEGIN"
    And "a" sends "WRITE x 1"
    And 5 s pass
    And "a" sends "COMMIT"
    Then the last answer of "a" is refused as "transaction_unknown"
    And the endpoints committed 0 writes

  Scenario: A transaction uses one rate limit token, however many statements it has
    Given version 2 gives every workspace a rate of 1 and a burst of 2
    And a session "a" on "latest"
    When 3 s pass
    And "a" sends "BEGIN"
    And "a" sends "READ x"
    And "a" sends "READ x"
    And "a" sends "READ x"
    And "a" sends "READ x"
    Then the last answer of "a" has rows

  Scenario: A workspace's connections are never used for another workspace
    Given a session "a" on "own"
    And a session "b" on "own" with the key "k2"
    When "a" sends "READ x"
    And "b" sends "READ x"
    Then every statement ran on a connection of its workspace
    And no session invariant was violated

  Scenario: A caller that disconnects inside a transaction leaves no open transaction and no writes
    Given a session "a" on "latest"
    When "a" sends "BEGIN"
    And "a" sends "WRITE x 1"
    And "a" disconnects
    Then the endpoints hold no open transaction
    And the endpoints committed 0 writes

  Scenario: A statement of a transaction does not run outside it after its caller left
    Guards against writes that nobody committed: a statement that waited for a connection while its
    caller disconnected ran as one of its own, and was committed.
    Given the VM has one connection to each endpoint, which needs 0.3 s for each statement
    And a session "a" on "latest"
    And a session "b" on "latest"
    When "b" sends "READ x" and waits 0.05 s
    And "a" sends "BEGIN" and waits 0.01 s
    And "a" sends "WRITE x 1" and waits 0.05 s
    And "a" disconnects
    And 1 s pass
    Then the endpoints committed 0 writes

  # Guards against a statement that runs for the workspace that its key had when it arrived.
  Scenario: A request that waits for a connection does not run after its key was given away
    Given the VM has one connection to each endpoint, which needs 0.3 s for each statement
    And a session "a" on "latest"
    And a session "b" on "latest"
    When "a" sends "READ x" and waits 0.05 s
    And "b" sends "READ x" and waits 0.05 s
    And version 3 gives the key "k1" to "w2"
    And 1 s pass
    Then the last answer of "b" is refused as "key_moved"
    And 1 statements ran

  Scenario: A request that waits for a connection is refused when its key is removed
    Given the VM has one connection to each endpoint, which needs 0.3 s for each statement
    And a session "a" on "latest"
    And a session "b" on "latest"
    When "a" sends "READ x" and waits 0.05 s
    And "b" sends "READ x" and waits 0.05 s
    And version 3 removes the key "k1"
    And 1 s pass
    Then the last answer of "b" is refused as "key_refused"
    And 1 statements ran

@sessions
Feature: Sessions of callers on declared routes

  Scenario: A statement runs with its session's values on whatever connection it gets
    Given a session "a" on "own"
    And a session "b" on "own"
    When "a" sends "SET lang ga"
    And "b" sends "SET lang ml"
    And "a" sends "READ x"
    And "b" sends "READ x"
    And "a" sends "READ y"
    Then every statement of "a" ran with "lang" set to "ga"
    And every statement of "b" ran with "lang" set to "ml"
    And no rule of sessions was broken

  Scenario: A session without values gets a connection without values
    Given a session "a" on "own"
    And a session "b" on "own"
    When "a" sends "SET lang ga"
    And "a" sends "READ x"
    And "b" sends "READ x"
    Then every statement of "b" ran with no values

  Scenario: Two sessions prepare different statements under one name
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

  Scenario: A rolled back transaction keeps nothing
    Given a session "a" on "latest"
    When "a" sends "BEGIN"
    And "a" sends "WRITE x 1"
    And "a" sends "ROLLBACK"
    Then the last answer of "a" is a success
    And the endpoints committed 0 writes

  Scenario: A statement that fails leaves a transaction that can only be ended
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

  Scenario: A lost answer to a single write is told as unknown and the write is not sent again
    Given a session "a" on "latest"
    When the primary loses the next answer
    And "a" sends "WRITE x 1"
    Then the last answer of "a" is refused as "outcome_unknown"
    And the endpoints committed 1 writes

  Scenario: A lost answer to a commit is told as unknown
    Given a session "a" on "latest"
    When "a" sends "BEGIN"
    And "a" sends "WRITE x 1"
    And the primary loses the next answer
    And "a" sends "COMMIT"
    Then the last answer of "a" is refused as "outcome_unknown"

  Scenario: A lost answer inside a transaction tells that nothing is kept
    Given a session "a" on "latest"
    When "a" sends "BEGIN"
    And "a" sends "WRITE x 1"
    And the primary loses the next answer
    And "a" sends "WRITE x 2"
    Then the last answer of "a" is refused as "transaction_unknown"
    And the endpoints committed 0 writes

  Scenario: A read that lost its answer is served by another endpoint
    Given a session "a" on "bounded"
    When every replica loses the next answer
    And "a" sends "READ x"
    Then the last answer of "a" has rows

  Scenario: A read of one's own writes goes to an endpoint that has them
    Given a session "a" on "own"
    When the replicas apply nothing
    And "a" sends "WRITE x 1"
    And "a" sends "READ x"
    Then the last answer of "a" has rows
    And the last read of "a" saw 1 commits

  Scenario: A read of bounded age demands only what was committed before that age
    Given a session "a" on "bounded"
    And a session "b" on "latest"
    When the replicas apply nothing
    And "b" sends "WRITE x 1"
    And "a" sends "READ x"
    Then the last answer of "a" has rows
    When 3 s go by
    And "a" sends "READ x"
    Then the last read of "a" saw 1 commits

  Scenario: A read of the latest data runs in a transaction of the leading primary
    Given a session "a" on "latest"
    When "a" sends "READ x"
    Then all statements of "a" ran inside a transaction of the primary

  Scenario: An unknown key opens no session
    Given a session "a" on "own" with the key "nobody"
    Then "a" is refused as "key_refused"

  Scenario: An unknown database opens no session
    Given a session "a" on "nowhere"
    Then "a" is refused as "no_database"

  Scenario: A key taken from a connected caller stops at its next statement
    Given a session "a" on "own"
    When "a" sends "READ x"
    And version 2 takes the key "k1" away
    And "a" sends "READ x"
    Then the last answer of "a" is refused as "key_refused"

  Scenario: A key taken away ends an open transaction
    Given a session "a" on "latest"
    When "a" sends "BEGIN"
    And "a" sends "WRITE x 1"
    And version 2 takes the key "k1" away
    And "a" sends "COMMIT"
    Then the last answer of "a" is refused as "key_refused"
    And the endpoints committed 0 writes

  Scenario: An idle transaction is ended and its writes are rolled back
    Given a session "a" on "latest"
    When "a" sends "BEGIN"
    And "a" sends "WRITE x 1"
    And 5 s go by
    And "a" sends "COMMIT"
    Then the last answer of "a" is refused as "transaction_unknown"
    And the endpoints committed 0 writes

  Scenario: An operation takes one token however many statements it has
    Given version 2 gives every workspace a rate of 1 and a burst of 2
    And a session "a" on "latest"
    When 3 s go by
    And "a" sends "BEGIN"
    And "a" sends "READ x"
    And "a" sends "READ x"
    And "a" sends "READ x"
    And "a" sends "READ x"
    Then the last answer of "a" has rows

  Scenario: A workspace's connections are never used for another
    Given a session "a" on "own"
    And a session "b" on "own" with the key "k2"
    When "a" sends "READ x"
    And "b" sends "READ x"
    Then every statement ran on a connection of its workspace
    And no rule of sessions was broken

  Scenario: A caller that leaves inside a transaction leaves nothing behind
    Given a session "a" on "latest"
    When "a" sends "BEGIN"
    And "a" sends "WRITE x 1"
    And "a" leaves
    Then the endpoints hold no open transaction
    And the endpoints committed 0 writes

  Scenario: A key taken away while its request waits for an endpoint stops that request
    Given the endpoints take one connection each and 0.3 s a statement
    And a session "a" on "latest"
    And a session "b" on "latest"
    When "a" sends "READ x" and waits 0.05 s
    And "b" sends "READ x" and waits 0.05 s
    And version 3 takes the key "k1" away
    And 1 s go by
    Then the last answer of "b" is refused as "key_refused"
    And 1 statements ran

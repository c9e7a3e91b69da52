Feature: A planned stop answers every statement that was read
  A stop of the simulated VM refuses new work after 2 s. Open transactions go on; after 3 s they only
  get statements whose timeout ends before the stop does, after 5 s. Routes have a timeout of 1 s.

  @sessions
  Scenario: A transaction that is open when a stop begins can be committed in its first half
    Given a session "a" on "latest"
    When "a" sends "BEGIN"
    And "a" sends "WRITE x 1"
    And a planned stop begins
    And 2.5 s pass
    And "a" sends "COMMIT"
    Then the last answer of "a" is a success
    And the endpoints committed 1 writes
    And no session invariant was violated

  @sessions
  Scenario: A statement that may outlast a planned stop is refused, and its transaction rolled back
    Guards against statements of long transactions that ran and got no answer, because the process
    ended before their endpoints replied.
    Given a session "a" on "latest"
    When "a" sends "BEGIN"
    And "a" sends "WRITE x 1"
    And a planned stop begins
    And 2.5 s pass
    And "a" sends "READ x"
    Then the last answer of "a" is a success
    When 1.5 s pass
    And "a" sends "WRITE y 1"
    Then the last answer of "a" is refused as "transaction_unknown"
    And the endpoints committed 0 writes
    And the endpoints hold no open transaction

  @sessions
  Scenario: A commit that may outlast a planned stop is refused and never sent
    Guards against commits that ran and got no answer, because the process ended.
    Given a session "a" on "latest"
    When "a" sends "BEGIN"
    And "a" sends "WRITE x 1"
    And a planned stop begins
    And 2.5 s pass
    And "a" sends "READ x"
    Then the last answer of "a" is a success
    When 1.5 s pass
    And "a" sends "COMMIT"
    Then the last answer of "a" is refused as "transaction_unknown"
    And the endpoints committed 0 writes
    And the endpoints hold no open transaction

  @sessions
  Scenario: A transaction can be rolled back until the end of a planned stop
    Given a session "a" on "latest"
    When "a" sends "BEGIN"
    And "a" sends "WRITE x 1"
    And a planned stop begins
    And 4.5 s pass
    And "a" sends "ROLLBACK"
    Then the last answer of "a" is a success
    And the endpoints hold no open transaction

  @sessions
  Scenario: A statement whose endpoint is silent is answered before a planned stop ends
    Guards against a route's long timeout keeping a statement running until the process ends.
    Given the VM has one connection to each endpoint, which needs 0.01 s for each statement
    And routes have a timeout of 8 s
    And a session "a" on "latest"
    When a planned stop begins
    And the primary stops answering
    And "a" sends "WRITE x 1" and waits 5 s
    Then the last answer of "a" is refused as "outcome_unknown"

  @sessions
  Scenario: A session that is opened before the load balancer has noticed a planned stop is served
    Given a planned stop begins
    And a session "a" on "latest"
    When "a" sends "WRITE x 1"
    Then the last answer of "a" is a success

  @sessions
  Scenario: New sessions, transactions and statements are refused once a planned stop is draining
    Given a session "a" on "latest"
    When a planned stop begins
    And 2.1 s pass
    And "a" sends "WRITE x 1"
    Then the last answer of "a" is refused as "draining"
    When "a" sends "BEGIN"
    Then the last answer of "a" is refused as "draining"
    Given a session "b" on "latest"
    Then "b" is refused as "draining"

  @sessions
  Scenario: A planned stop ends once no session is left, and a second request does not prolong it
    Given a session "a" on "latest"
    When a planned stop begins
    And 1 s pass
    And a planned stop begins
    And 1.5 s pass
    Then the planned stop has not ended
    When "a" disconnects
    Then the planned stop has ended

  @sessions
  Scenario: A planned stop ends with sessions that stay open
    Given a session "a" on "latest"
    When a planned stop begins
    And 1 s pass
    And "a" sends "BEGIN"
    And 2.5 s pass
    And "a" sends "READ x"
    And 1.5 s pass
    Then the planned stop has ended
    When "a" sends "READ y"
    Then the last answer of "a" is refused as "transaction_unknown"

  @homes
  Scenario: A home that stops refuses a relayed statement that may outlast it, and forgets its transaction
    Guards against a home that is kept from ending by the transaction of a statement that it refused.
    Given a session "a" on "latest" at "h3"
    When "a" sends at "h3" "BEGIN"
    And "a" sends at "h3" "WRITE x 1"
    And a planned stop of every VM but "h3" begins
    And 1.5 s pass
    And "a" sends at "h3" "READ x"
    And 1.7 s pass
    And "a" sends at "h3" "WRITE y 1"
    Then the last statement of "a" was refused as "transaction_unknown"
    And no home or endpoint holds an open transaction

  @homes
  Scenario: A home that takes no new work leaves the first statement of a transaction to another VM
    Guards against transactions that a stopping home accepts and then rolls back when it ends.
    Given a session "a" on "latest" at "h3"
    And a session "b" on "latest" at "h1"
    And a session "c" on "latest" at "h4"
    When a planned stop of every VM but "h3" begins
    And 2.2 s pass
    And "a" sends at "h3" "BEGIN"
    And "a" sends at "h3" "WRITE x 1"
    And "a" sends at "h3" "COMMIT"
    Then every statement of "a" succeeded

  @homes
  Scenario: A transaction whose home VM has ended is reported as rolled back
    Guards against an answer that promises nothing although nothing can be kept: callers that wrote
    may not try again after it.
    Given a session "a" on "latest" at "h3"
    When "a" sends at "h3" "BEGIN"
    And "a" sends at "h3" "WRITE x 1"
    And no VM but "h3" can be connected to
    And "a" sends at "h3" "COMMIT"
    Then the last statement of "a" was refused as "transaction_unknown"

  @simulation
  Scenario: A transaction whose statement may outlast a daemon's planned stop is rolled back there
    Guards against writes that are committed after their caller was told that they were rolled back.
    Given a running fleet
    When "b" is a begin of "" sent to o1
    And 0.2 s pass
    And "s1" is a write of "card-1" inside "b" sent to o1
    And 0.2 s pass
    And a planned stop of o1 begins
    And 3.5 s pass
    And "s2" is a write of "card-2" inside "b" sent to o1
    And 0.1 s pass
    Then the result of "s2" is "not run: transaction_unknown"
    When "c" is a commit inside "b" with a timeout of 1 s sent to o1
    And 0.5 s pass
    Then the result of "c" is "unknown: transaction_unknown"
    And the primary stores the value "card-1" 0 time(s)

  @simulation
  Scenario: A commit that is retried late in a daemon's planned stop is not reported as not run
    Guards against writes that a caller repeats because of a false report that they were rolled back.
    Given a running fleet
    When "b" is a begin of "" sent to o1
    And 0.2 s pass
    And "s1" is a write of "card-1" inside "b" sent to o1
    And 0.2 s pass
    And a planned stop of o1 begins
    And "c1" is a commit of "" with id "r1" inside "b" sent to o1
    And 3.5 s pass
    Then the result of "c1" is "run"
    When "c2" is a commit of "" with id "r1" inside "b" sent to o1
    And 0.5 s pass
    Then the result of "c2" is "unknown: transaction_unknown"

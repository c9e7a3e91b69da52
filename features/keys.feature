@simulation
Feature: Keys, presets and the freshness of the configuration
  The simulated fleet has the VMs v1 to v3, which vote, s1, which is a standby, and o1 and o2, which
  have no disk; all serve callers. The group g has three endpoints: a primary and two replicas.
  Endpoints answer every read with all the values that they have; "all" stands for that.

  Background:
    Given a running fleet

  Scenario: A request with an unknown key is refused
    When "r1" is a read of "all" with the key "other" sent to o1
    And 0.5 s pass
    Then the result of "r1" is "not run: key_refused"

  Scenario: Requests with a withdrawn key are refused by every VM within 3 s
    When the key is withdrawn
    And 3 s pass
    And "r1" is a read of "all" sent to o1
    And "r2" is a read of "all" sent to v2
    And 0.5 s pass
    Then the result of "r1" is "not run: key_refused"
    And the result of "r2" is "not run: key_refused"

  Scenario: Withdrawing a key rolls back its open transaction
    When "b" is a begin of "" sent to o1
    And 0.2 s pass
    And "s1" is a write of "card-1" inside "b" sent to o1
    And 0.2 s pass
    And the key is withdrawn
    And 3 s pass
    Then no VM holds an open transaction
    When "c" is a commit of "" inside "b" sent to o1
    And 0.5 s pass
    Then the result of "c" is "not run: key_refused"
    And the primary stores the value "card-1" 0 time(s)

  Scenario: A queued request is refused when its key is withdrawn
    When "w" is a write of "card-1" queued at o1 as the primary is suspected, with a timeout of 20 s
    And the key is withdrawn
    And 2 s pass
    And the primary is no longer suspected
    And 0.5 s pass
    Then the result of "w" is "not run: key_refused"

  Scenario: A VM whose configuration is not fresh refuses requests with a key but serves open routes
    When the open route "proofs" is created
    And 1 s pass
    And a network partition isolates o1 from all other VMs
    And 3 s pass
    And "r" is a read of "all" sent to o1
    And "p" is a read without a key on the route "proofs" sent to o1
    And 0.5 s pass
    Then the result of "r" is "not run: configuration_not_fresh"
    And the result of "p" is "run"

  Scenario: The maintenance preset refuses writes and serves reads
    When the preset is switched to "maintenance"
    And "w" is a write of "card-1" sent to o1
    And "r" is a read of "all" sent to o1
    And 0.5 s pass
    Then the result of "w" is "not run: maintenance"
    And the result of "r" is "run"

  Scenario: A session token of another workspace is refused
    When "w" is a write of "card-1" sent to o1
    And 0.5 s pass
    And "r" is a read with a session token of another workspace sent to o2
    Then the result of "r" is "not run: bad_token"

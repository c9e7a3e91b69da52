Feature: The timeline records events with their causes
  The simulated fleet has the VMs v1 to v3, which vote, s1, which is a standby, and o1 and o2, which
  have no disk; all serve callers. The group g has three endpoints: a primary and two replicas.
  Endpoints answer every read with all the values that they have; "all" stands for that.

  @simulation
  Scenario: A promotion after the loss of a primary is explained by the failover that led to it
    Given a running fleet
    When a network partition isolates the primary
    And 3 s pass
    Then the newest event about "g" is "primary_promoted" and is explained by "failover_started"

  @simulation
  Scenario: A refusal after a key was withdrawn is explained by that change
    Given a running fleet
    When the key is withdrawn
    And 1 s pass
    And "r" is a read of "all" sent to o1
    And 0.5 s pass
    Then the newest refusal is explained by the change "withdraw_key"

  @simulation
  Scenario: A VM records when its configuration stops being fresh and when it is fresh again
    Given a running fleet
    When a network partition isolates o1 from all other VMs
    And 3 s pass
    And all network partitions heal
    And 1 s pass
    Then o1 records "freshness_lost" and then "freshness_regained"

  Scenario: Timestamps keep cause before effect between VMs whose clocks differ
    When a VM whose clock is 5 s behind receives the timestamp of an event of another VM
    Then its next event has a later timestamp

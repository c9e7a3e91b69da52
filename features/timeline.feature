Feature: The time line tells what happened and why
  @world
  Scenario: The loss of a primary is told with its chain of causes
    Given a running fleet
    When the primary is cut off from everyone
    And 3 s pass
    Then the newest event about "g" is "primary_promoted" and "failover_started" led to it

  @world
  Scenario: A refusal after a withdrawn key names the change that led to it
    Given a running fleet
    When the key is withdrawn
    And 1 s pass
    And "r" is a read of "all" sent to o1
    And 0.5 s pass
    Then the newest refusal was led to by the change "withdraw_key"

  @world
  Scenario: A VM that loses and regains its freshness says so
    Given a running fleet
    When a cut isolates o1 from all other VMs
    And 3 s pass
    And all cuts are healed
    And 1 s pass
    Then o1 tells "freshness_lost" and then "freshness_regained"

  Scenario: Stamps keep the order of causes over VMs whose clocks differ
    When a VM whose clock is 5 s late hears of an event of another
    Then its next event comes after that one

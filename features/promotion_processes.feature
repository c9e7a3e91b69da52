@processes @fleet
Feature: The programs lose no acknowledged commit when an endpoint is promoted

  Background:
    Given callers write at every entry VM all the while

  # Guards against commits that only a replica has confirmed which no control VM has heard of.
  Scenario: A replica joins the cut-off primary while the others are paused
    When the primary is cut off from the control VMs
    And a replica joins once the others are paused
    And an endpoint has been promoted
    And the cut ends
    Then no acknowledged commit is missing at a promoted endpoint
    And writes are served again at every entry VM

  # Guards against commits that a replica has confirmed whose pause a new start has ended.
  Scenario: A paused replica starts again beside the cut-off primary
    When the primary is cut off from the control VMs
    And another replica than the promoted one starts again without its log after the promote call
    And an endpoint has been promoted
    And the cut ends
    Then no acknowledged commit is missing at a promoted endpoint
    And writes are served again at every entry VM

  # Guards against a VM that knows of no promotion, since the control VMs cannot reach it.
  @control_links
  Scenario: A replica joins the cut-off primary while an entry VM is out of touch
    When "entry-1" is cut off from the control VMs
    And the primary is cut off from the control VMs
    And a replica joins once the others are paused
    And an endpoint has been promoted
    And "entry-1" reaches the control VMs again
    And the cut ends
    Then no acknowledged commit is missing at a promoted endpoint
    And writes are served again at every entry VM

  # Guards against a promotion that takes effect after it was given up.
  Scenario: A promote call without an answer is carried out after the primary is well again
    Given promote calls get no answer and are carried out late
    When the primary is cut off from the control VMs
    And a promote call has got no answer
    And commands and calls are carried out at once again
    And the cut ends
    And all that was late has been carried out
    Then no acknowledged commit is missing at a promoted endpoint
    And writes are served again at every entry VM

  # Guards against what earlier promotions leave behind: pauses, late commands, departed replicas.
  Scenario: Replicas join, leave and start again in a series of cuts with late commands and calls
    Given a third of the commands and calls get no answer and are carried out late
    When the primary is cut off from the control VMs
    And a replica joins once the others are paused
    And an endpoint has been promoted
    And the cut ends
    And a replica leaves and its log is gone with it
    And the control VMs know that another replica has all that it had
    And the primary is cut off from the control VMs
    And a replica starts again without its log once the others are paused
    And a replica joins
    And the cut ends
    And the control VMs know that another replica has all that it had
    And the primary is cut off from the control VMs
    And a replica joins once the others are paused
    And the cut ends
    And commands and calls are carried out at once again
    And all that was late has been carried out
    Then no acknowledged commit is missing at a promoted endpoint
    And writes are served again at every entry VM

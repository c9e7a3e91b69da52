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

  # Guards against commits that only a replica confirmed after its deregistration, whose answer was
  # lost.
  Scenario: A replica runs on after its deregistration, the other one falls behind, the primary ends
    When callers go on writing for 6 s
    And a replica leaves, and runs on after its deregistration
    And the control VMs know that it has left
    And callers go on writing for 1 s
    And the other replica receives nothing any more
    And writes are acknowledged at every entry VM
    And the leaving replica ends
    And the process of the primary ends
    And the control VMs have decided on a promotion
    And the primary starts again with its log, and the other replica receives again
    Then no acknowledged commit is missing at a promoted endpoint
    And writes are served again at every entry VM

  # Guards against commits that only a leaving replica confirmed while connections to it were refused.
  Scenario: A leaving replica refuses connections, the other one falls behind, the primary ends
    When callers go on writing for 6 s
    And a replica leaves, and its connections are refused while it runs on
    And the control VMs know that it has left
    And callers go on writing for 1 s
    And the other replica receives nothing any more
    And writes are acknowledged at every entry VM
    And the process of the primary ends
    And the control VMs have decided on a promotion
    And the primary starts again with its log, and the other replica receives again
    Then no acknowledged commit is missing at a promoted endpoint
    And writes are served again at every entry VM

  # Guards against departures that hold up the promotion of a replica that has every commit.
  # The leases that VMs got from other control VMs while the fleet started have expired after 6 s.
  Scenario Outline: <departure>, callers rest, and the primary ends
    When callers go on writing for 6 s
    And <departure>
    And the control VMs know that it has left
    And writes are acknowledged at every entry VM
    And the callers rest, and the other replica has received every commit
    And the process of the primary ends
    And an endpoint has been promoted
    Then the primary had not been back before
    When the callers go on
    And the primary starts again with its log, and the other replica receives again
    Then no acknowledged commit is missing at a promoted endpoint
    And writes are served again at every entry VM

    Examples:
      | departure                                                            |
      | a replica leaves and its log is gone with it                         |
      | a replica leaves, and runs on after its deregistration               |
      | a replica leaves, and its connections are refused while it runs on   |

  # Guards against the same while callers write all the time. A commit may be under way as the primary
  # ends, which the other replica lacks and the departed one may have confirmed: then the primary stays.
  Scenario Outline: <departure>, and the primary ends
    When callers go on writing for 6 s
    And <departure>
    And the control VMs know that it has left
    And writes are acknowledged at every entry VM
    And the process of the primary ends
    And an endpoint has been promoted, or the other replica lacks a position that VMs handed on
    Then the primary had not been back before
    When the primary starts again with its log, and the other replica receives again
    Then no acknowledged commit is missing at a promoted endpoint
    And writes are served again at every entry VM

    Examples:
      | departure                                                            |
      | a replica leaves and its log is gone with it                         |
      | a replica leaves, and runs on after its deregistration               |
      | a replica leaves, and its connections are refused while it runs on   |

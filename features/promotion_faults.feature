@promotions
Feature: Promotions lose no acknowledged commit whatever faults come together
  The tests run a state machine of commits and faults; the rules and their limits are in its module.

  # Guards against a loss or a standstill that only comes from several faults at once.
  Scenario Outline: No commit is lost by random faults
    When commits and faults are played at random with seed <seed> for <steps> steps

    Examples:
      | seed | steps |
      | 1    | 1000  |
      | 14   | 1000  |

  # Guards against replicas that stay paused, so that no write is confirmed: a call for an endpoint that
  # leads already changes nothing, also not their pauses.
  Scenario: The next attempt calls an endpoint that an earlier call without an answer made the primary
    When these faults happen, and then end
      | step           | arguments                                                       |
      | lose_answers   | {"kind": "PROMOTE", "fate": "LATE", "late_s": 0.2, "count": 1}  |
      | crash_primary  | {}                                                              |
      | wait_for_call  | {}                                                              |
      | stop_control   | {}                                                              |
      | wait_for_call  | {}                                                              |
      | crash_primary  | {}                                                              |

  # Guards against the same where the target of an answered call ends before it leads, so that the old
  # primary still leads when it comes back.
  Scenario: The target of a call ends before it leads, and the old primary comes back
    When these faults happen, and then end
      | step                      | arguments                              |
      | cut_primary_from_control  | {}                                     |
      | wait_for_call             | {}                                     |
      | restart_replica           | {"index": 1, "announced_after_s": 3.0} |
      | crash_primary             | {}                                     |

  # Guards against replicas that are resumed only once a write has waited for them.
  Scenario: The first writes succeed after a call that changed nothing
    When these faults happen, and then end
      | step                    | arguments                                                      |
      | lose_answers            | {"kind": "PROMOTE", "fate": "LATE", "late_s": 2.0, "count": 2} |
      | begin                   | {"vm": "h3"}                                                   |
      | crash_primary           | {}                                                             |
      | wait_for_call           | {}                                                             |
      | replace_control_leader  | {"seconds": 1.0}                                               |
      | replace_control_leader  | {"seconds": 0.0}                                               |
      | start                   | {"index": 0, "announced_after_s": 0.5}                         |
      | begin                   | {"vm": "h2"}                                                   |
      | crash_primary           | {}                                                             |

  # Guards against a group that nobody leads any more, though three endpoints have every commit.
  Scenario: The target of a handover starts again empty before it leads, and announces itself at once
    When these faults happen, and then end
      | step              | arguments                              |
      | cut_from_control  | {"index": 1}                           |
      | crash_primary     | {}                                     |
      | begin             | {"vm": "h3"}                           |
      | join              | {"zone": "z1", "announced_after_s": 0.5} |
      | wait_for_call     | {}                                     |
      | evacuate          | {"zone": "z2"}                         |
      | start             | {"index": 1, "announced_after_s": null} |
      | leave_as_primary  | {}                                     |
      | delay_polls       | {"vm": "h3", "seconds": 1.2}           |
      | wait              | {"seconds": 1.6}                       |
      | evacuate          | {"zone": "z3"}                         |
      | restart_replica   | {"index": 2, "announced_after_s": 0.0} |

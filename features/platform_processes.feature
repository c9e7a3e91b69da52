@processes
Feature: Control and entry VMs keep their guarantees as processes on loopback
  Scenario: The guarantees hold when a primary, a control VM and an entry VM crash and a key is withdrawn
    When the demo of the platform's programs runs with phases of 1 s
    Then every guarantee held

  # Guards against faults of the programs that the soak has found with one of these seeds before.
  Scenario Outline: The guarantees hold under seeded random faults injected from outside
    When the soak of the platform's programs runs with seed <seed> for 5 s
    Then every guarantee held

    Examples:
      | seed | cause of an earlier failure                                                       |
      | 3    | none                                                                              |
      | 23   | an entry VM ended while statements of transactions ran late in the grace period   |
      | 27   | an entry VM ended while statements of transactions ran late in the grace period   |
      | 30   | an entry VM ended while statements of transactions ran late in the grace period   |

  # Guards against acknowledged commits that are lost while replicas, cuts and late calls overlap.
  Scenario Outline: The guarantees hold under seeded faults around promotions
    When the soak of the platform's programs runs with seed <seed> for 8 s around promotions
    Then every guarantee held

    Examples:
      | seed | cause of an earlier failure |
      | 1    | none                        |
      | 2    | none                        |

  # Guards against a fleet that has acknowledged a change and is without voters after a restart.
  Scenario: The control VMs go on after all were killed just after the first acknowledged change
    When the first start is interrupted 0 s and 0.1 s after the first acknowledged change
    Then every guarantee held

  # Guards against an evacuation that is lost after its acknowledgement, or that stops the callers.
  Scenario: An evacuation outlives a kill of all control VMs, and callers are served elsewhere
    When the primary's zone is evacuated and all control VMs are killed at the acknowledgement
    Then every guarantee held

  Scenario: Nine in ten statements are served elsewhere in the last seconds of an evacuation
    When the primary's zone is evacuated and 0.9 of the last statements have to be served
    Then every guarantee held

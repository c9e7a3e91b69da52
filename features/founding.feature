Feature: What is acknowledged during the first start of a fleet survives it
  v1 to v3 found the control log and s1 is a standby. Only at the first start are VMs told the initial
  voters; the control log records them a quarter of a second after the first leader was elected.

  # Guards against a fleet that has acknowledged a change and is without voters after a restart.
  Scenario Outline: The founding VMs are interrupted at any moment of the first start
    When at any moment of the first start <interruption>
    Then each fleet keeps what it had acknowledged, and acknowledges a change within 12 s

    Examples:
      | interruption                                       |
      | all control VMs restart                            |
      | all control VMs restart and a founder has no disk  |
      | a founder restarts                                 |
      | a founder restarts without its disk                |
      | a founder stays down                               |
      | a founder is late                                  |
      | a control VM joins and all control VMs restart     |

  # Guards against VMs that stay without voters after an upgrade.
  Scenario: Disks of an older build do not record the initial voters
    When at any moment of the first start all control VMs restart, with the disks of an older build
    Then each fleet keeps what it had acknowledged, and acknowledges a change if it had before

  Scenario: Seeds that were replaced are not taken for the founders' voters
    When all control VMs restart after the first change, and the new seeds are other VMs
    Then each fleet keeps what it had acknowledged, and acknowledges a change within 12 s

  Scenario: Settings of a first start do not replace what the disks record
    When all control VMs restart after the first change as if for the first time, with other seeds
    Then each fleet keeps what it had acknowledged, and acknowledges a change within 12 s

  # Guards against a VM that says nothing about why it has no leader.
  Scenario: A VM whose disk names no voters says so
    When a founder of an older build restarts with other seeds before the voters are recorded
    Then that VM reports that it knows no voters, with what to do about it
    And its readiness and its refusals say so too

  Scenario: The operator's first change is sent twice while all control VMs restart
    When the first change is sent again after all control VMs have restarted
    Then it is in force once

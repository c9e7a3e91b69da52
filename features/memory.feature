Feature: The memory of a control VM depends on the size of its configuration, not on how often it changed

  # Guards against control VMs that exceed their memory after hundreds of changes of a large configuration.
  @simulation
  Scenario: Hundreds of changes of a large configuration are kept within a bound
    When 150 declarations of 400 routes are applied
    Then each VM keeps at most 17 MB of entries in its log, its histories and on its disk
    And no message carried more than 3 MB of entries

  @simulation
  Scenario: A voter that missed the changes catches up
    When a voter is killed and 150 declarations of 400 routes are applied
    And that voter starts again
    And 5 s pass
    Then every VM has the newest declaration
    And each VM keeps at most 17 MB of entries in its log, its histories and on its disk

  Scenario: A history that had to drop entries brings no VM up to date that lacks one of them
    Given a history of at most 3 entries and 1000 bytes
    When entries of 400, 400, 400 and 5000 bytes are added
    Then it can bring no VM up to date
    When entries of 10 and 10 bytes are added
    Then it brings only VMs up to date that lack at most 2 entries

  Scenario Outline: The size of an entry is estimated
    Then a declaration of <routes> routes takes between 0.5 and 2 times its estimated size

    Examples:
      | routes |
      | 10     |
      | 1000   |

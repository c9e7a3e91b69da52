@folder
Feature: The control log's files survive whatever happens between two synced writes
  Scenario: What was synced is read back
    When entries 1 to 5 and a vote in term 3 are written
    Then a start reads entries 1 to 5 and the vote in term 3

  Scenario Outline: A torn last record is dropped, whatever its length
    When entries 1 to 5 and a vote in term 3 are written
    And the last <bytes> bytes of the log are cut off
    Then a start reads entries 1 to 4 and the vote in term 3
    And further entries can be written and read

    Examples:
      | bytes |
      | 1     |
      | 40    |

  Scenario: A last write that was torn in its middle is dropped
    When entries 1 to 5 and a vote in term 3 are written
    And entries 6 to 9 are written at once and a hole is torn into them
    Then a start reads entries 1 to 5 and the vote in term 3
    And further entries can be written and read

  Scenario: A disk that was full takes the same batch again
    When entries 1 to 5 and a vote in term 3 are written
    And entry 6 fails halfway and is written again
    Then a start reads entries 1 to 6 and the vote in term 3

  Scenario: Damage before the end is an error that names the remedy
    When entries 1 to 5 and a vote in term 3 are written
    And a byte in the middle of the log is changed
    Then a start fails with "storage_failed"

  Scenario: A kill between the snapshot and the new log loses nothing
    When entries 1 to 5 and a vote in term 3 are written
    And a snapshot of entry 3 replaces its file, and the log stays as it was
    Then a start reads a snapshot of 3 and entries 4 to 5

  Scenario: A snapshot trims the log
    When entries 1 to 5 and a vote in term 3 are written
    And a snapshot of entry 3 is written
    Then a start reads a snapshot of 3 and entries 4 to 5

  Scenario: An entry that replaces another drops all after it
    When entries 1 to 5 and a vote in term 3 are written
    And entry 3 is written again in term 4
    Then a start reads entries 1 to 3 and the vote in term 3

  Scenario: A write that the disk refuses is reported
    When entries 1 to 5 and a vote in term 3 are written
    And the disk takes no more
    Then writing fails with "storage_failed"

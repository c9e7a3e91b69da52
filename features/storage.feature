@folder
Feature: The control log's files survive crashes, torn writes and a full disk
  Scenario: Entries and a vote that were synced are read back after a restart
    When entries 1 to 5 and a vote in term 3 are written
    Then reopening reads entries 1 to 5 and the vote in term 3

  Scenario Outline: A torn write at the end of the log is dropped, however many bytes are missing
    When entries 1 to 5 and a vote in term 3 are written
    And the last <bytes> bytes of the log are cut off
    Then reopening reads entries 1 to 4 and the vote in term 3
    And further entries can be written and read

    Examples:
      | bytes |
      | 1     |
      | 40    |

  Scenario: A last write of which only the end reached the disk is dropped
    When entries 1 to 5 and a vote in term 3 are written
    And entries 6 to 9 are appended in one write whose first half is then zeroed
    Then reopening reads entries 1 to 5 and the vote in term 3
    And further entries can be written and read

  Scenario: A batch that failed halfway on a full disk can be written again
    When entries 1 to 5 and a vote in term 3 are written
    And the write of entry 6 fails halfway and is repeated
    Then reopening reads entries 1 to 6 and the vote in term 3

  Scenario: Corruption before the last valid frame is an error with a remedy
    When entries 1 to 5 and a vote in term 3 are written
    And a byte in the middle of the log is changed
    Then reopening fails with "storage_failed" and a remedy

  Scenario: A crash after the snapshot was written and before the log was trimmed loses no entry
    When entries 1 to 5 and a vote in term 3 are written
    And a snapshot up to entry 3 is written, but the log is not trimmed
    Then reopening reads a snapshot up to entry 3 and entries 4 to 5

  Scenario: A snapshot removes the entries that it covers from the log
    When entries 1 to 5 and a vote in term 3 are written
    And a snapshot up to entry 3 is written
    Then reopening reads a snapshot up to entry 3 and entries 4 to 5

  Scenario: An entry that replaces one of an older term removes all entries after it
    When entries 1 to 5 and a vote in term 3 are written
    And entry 3 is written again in term 4
    Then reopening reads entries 1 to 3 and the vote in term 3

  Scenario: A write that fails on a full disk is reported
    When entries 1 to 5 and a vote in term 3 are written
    And the disk is full
    Then writing fails with "storage_failed" and a remedy

  Scenario: A VM that starts while its disk is full reads its log, and removes a torn write once there is room
    When entries 1 to 5 and a vote in term 3 are written
    And the last 10 bytes of the log are cut off
    Then reopening while nothing can be written reads entries 1 to 4 and the vote in term 3
    And further entries can be written and read once there is room

  Scenario: A VM whose disk refuses to sync at the start waits for it instead of ending
    When entries 1 to 5 and a vote in term 3 are written
    And the disk refuses the next 2 syncs
    Then the control log is recovered with entries 1 to 5 after 2 failed attempts

  Scenario: An empty folder gets an incarnation that restarts and snapshots keep, and that is lost with it
    When the control log of an empty folder is recovered as that of a new member
    And entries 1 to 5 and a vote in term 3 are written with its incarnation
    And a snapshot up to entry 3 is written
    Then the control log is recovered with the same incarnation
    When all files of the folder are lost
    And the control log of an empty folder is recovered as that of a new member
    Then its incarnation is another one than before

  Scenario: A VM with an empty folder whose disk refuses to sync waits for it
    When the disk refuses the next 2 syncs
    And the control log of an empty folder is recovered as that of a new member
    Then the control log is recovered with the same incarnation

  Scenario: A folder of an older build, which records no incarnation, is that of a founding voter
    When an older build has written a vote in term 3 and the entry 1
    Then the control log is recovered with the founding incarnation
    And no initial voters are recorded

  # Guards against a control VM that ends at each start after a power loss tore the header of a write.
  Scenario: Whatever a power loss leaves of the last write, the folder names the initial voters
    When the control log of an empty folder is recovered as that of a founding voter
    And entries 1 to 2 and a vote in term 1 are written with its incarnation
    Then the initial voters are recorded whatever part of the last write is on the disk

  Scenario: A folder whose first write was torn counts as empty
    When the control log of an empty folder is recovered as that of a founding voter
    Then the control log has no incarnation whatever part of the first write is missing

  Scenario: The initial voters stay recorded through votes, entries and snapshots
    When the control log of an empty folder is recovered as that of a founding voter
    And entries 1 to 5 and a vote in term 3 are written with its incarnation
    And a snapshot up to entry 3 is written
    Then the initial voters are those of the first start

  Scenario: A folder that has lost its log, and with it the vote, counts as lost although it has a snapshot
    When the control log of an empty folder is recovered as that of a founding voter
    And a snapshot up to entry 3 is written
    And the log is lost but not the snapshot
    Then the control log has no incarnation

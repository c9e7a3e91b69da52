Feature: Odd and damaged messages of every sender are refused, or decoded to what encoders take
  The runs by hand take more messages: `python -m gentianspread_lab.platform.wirefuzz --count=20000`.

  Scenario Outline: Odd messages in place of <messages>
    Guards against bytes from outside that end what reads, logs, stores or sends them on.
    When 200 odd messages in place of <messages> are decoded with seed 1

    Examples:
      | messages           |
      | announcements      |
      | deregistrations    |
      | documents          |
      | callers' lines     |
      | endpoints' replies |
      | log entries        |
      | snapshots          |
      | control messages   |
      | relayed statements |
      | relayed replies    |
      | requests           |
      | tokens             |
      | HTTP requests      |
      | HTTP responses     |
      | settings files     |

  Scenario: A control message with an odd term is not taken, and those after it are
    Guards against a term or index beyond 64 bits that no disk and no message can hold.
    When another VM sends control messages with the terms null, -1, 1.5, 18446744073709551615 and 7
    Then only the message with term 7 is received, and 4 errors are counted

Feature: Odd and damaged messages of every sender are refused, or decoded to what encoders take
  The runs by hand take more messages: `python -m gentianspread_lab.platform.wirefuzz --count=20000`.

  Scenario: A control message with an odd term is not taken, and those after it are
    Guards against a term or index beyond 64 bits that no disk and no message can hold.
    When another VM sends control messages with the terms null, -1, 1.5, 18446744073709551615 and 7
    Then only the message with term 7 is received, and 4 errors are counted

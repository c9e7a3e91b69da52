Feature: A wrong entry among the endpoints names no endpoint and harms no other
  Other writers may send announcements too. What arrives is checked once. What an older build has
  stored, or another VM sends on, is ignored with a log line, and the entries after it are followed.

  Scenario Outline: An announcement with a value out of range or of another type describes no endpoint
    Guards against one odd entry that ends greenlets and encoders of all VMs that follow the list.
    When a valid announcement is decoded with <field> as <value>
    Then it describes no endpoint

    Examples:
      | field    | value                       |
      | address  | "10.0.0.1:99999"            |
      | address  | "10.0.0.1:65536"            |
      | address  | "10.0.0.1:0"                |
      | address  | "10.0.0.1:-5"               |
      | address  | "10.0.0.1:8_0"              |
      | address  | "10.0.0.1: 80"              |
      | address  | "10.0.0.1:80\n"             |
      | address  | "10.0.0.1:٨٠"               |
      | address  | "10.0.0:80"                 |
      | address  | "10.0.0.256:80"             |
      | address  | "10.0.0.01:80"              |
      | address  | "backend.internal:80"       |
      | address  | "[::1]:80"                  |
      | address  | ["10.0.0.1:80"]             |
      | address  | {"host": "10.0.0.1"}        |
      | slots    | 0                           |
      | slots    | -1                          |
      | slots    | 18446744073709551615        |
      | slots    | 99999999999999999999999999  |
      | slots    | 1e300                       |
      | slots    | true                        |
      | slots    | NaN                         |
      | slots    | Infinity                    |
      | sequence | -1                          |
      | sequence | 18446744073709551615        |
      | sequence | 99999999999999999999999999  |
      | sequence | false                       |
      | sequence | null                        |
      | born     | -1                          |
      | born     | 9223372036854775807         |
      | born     | 99999999999999999999999999  |
      | born     | 4102444800000               |
      | born     | 1.5                         |
      | born     | "1700000000000"             |
      | zone     | ""                          |
      | zone     | ["z1"]                      |
      | zone     | "z1\u0000"                  |
      | zone     | "\ud800"                    |
      | service  | "s\r\nQUERY - STEPDOWN 9"   |
      | service  | "s t"                       |
      | service  | {}                          |
      | state    | ["ready"]                   |
      | state    | {}                          |
      | dbRole   | ["primary"]                 |
      | dbRole   | 1                           |

  Scenario Outline: An announcement whose bytes cannot be read describes no endpoint
    Guards against one odd entry that ends greenlets and encoders of all VMs that follow the list.
    When an announcement with <fault> is decoded
    Then it describes no endpoint

    Examples:
      | fault                               |
      | a value nested 100000 levels deep   |
      | a list nested 100000 levels deep    |
      | a zone of 300000 characters         |
      | bytes that are not UTF-8            |
      | a name with a line end              |
      | a name of 300000 characters         |

  Scenario: A valid announcement still describes its endpoint
    When an announcement with nothing wrong is decoded
    Then it describes the endpoint at "10.0.0.1:80"

  Scenario Outline: A deregistration with an odd start time is refused
    Guards against an integer in the control log that no encoder takes.
    When a deregistration with the start time <value> is decoded
    Then it is invalid

    Examples:
      | value                      |
      | -1                         |
      | 18446744073709551615       |
      | 99999999999999999999999999 |
      | true                       |
      | [1]                        |

  Scenario Outline: Connecting to an odd address fails like connecting to an endpoint that is down
    Guards against greenlets of statements, probes and commands that end without a reply.
    When a statement, a probe and a command are sent to an endpoint at <address>
    Then the statement was not sent, the probe failed and the command was not accepted
    And the end of each was posted

    Examples:
      | address         |
      | 127.0.0.1:99999 |
      | 127.0.0.1:-1    |
      | 127.0.0.1:abc   |
      | 127.0.0.1       |
      | no-such-host:1  |

  @sessions
  Scenario Outline: An odd entry in the control log is ignored, and the entries after it are applied
    Guards against VMs that stop following the configuration at an entry that an older build stored.
    When an older build has put an endpoint into the log with <field> as <value>
    And version 2 of the declaration is put into the log
    Then no endpoint was added, and version 2 is in force
    And the timeline records the ignored entry

    Examples:
      | field       | value                     |
      | address     | "10.0.0.1:99999"          |
      | address     | "backend.internal:80"     |
      | address     | "10.0.0.1:٨٠"             |
      | address     | "10.0.0.01:80"            |
      | address     | 7                         |
      | name        | ["x"]                     |
      | slots       | 0                         |
      | slots       | "3"                       |
      | slots       | 1e300                     |
      | sequence    | "1"                       |
      | incarnation | null                      |
      | incarnation | "1"                       |
      | group       | {}                        |
      | unknown     | 1                         |

  @sessions
  Scenario: An odd endpoint in a snapshot is ignored, and the rest of the snapshot is loaded
    Guards against VMs that end at a snapshot that an older build stored.
    When a snapshot with 4 odd endpoints is loaded
    Then its other endpoints are loaded and the odd ones are not

  @sessions
  Scenario: An odd entry at the address of an endpoint does not remove it
    Guards against an endpoint in use that a wrong entry removes.
    When an older build has put an endpoint into the log with slots as -1 at the address of "b1"
    Then "b1" is still registered

  @sessions
  Scenario: An endpoint of a group that is not declared removes no endpoint at its address
    Guards against an endpoint in use that a heartbeat of an unnamed service removes.
    When an older build has put an endpoint into the log with group as "nobody" at the address of "b1"
    Then "b1" is still registered
    And the endpoint "odd" is not registered

  @sessions
  Scenario: The announcement of an endpoint of a group that is not declared is not proposed
    Guards against a control log that grows with each heartbeat of an unnamed service.
    When an endpoint of the group "nobody" announces itself
    Then its announcement is not acknowledged, and nothing is proposed

  Scenario Outline: A log position that an encoder cannot take is not accepted from an endpoint
    Guards against control VMs that answer no poll because of one endpoint's position.
    When an endpoint reports the position "<position>"
    Then the reply violates the protocol

    Examples:
      | position                         |
      | 99999999999999999999999999999.1  |
      | 1.99999999999999999999999999999  |
      | 1.18446744073709551616           |
      | -1.5                             |
      | 1.-5                             |
      | 1_0.5                            |
      | +1.5                             |
      | 1. 5                             |
      | ١.5                              |

@limited_fleet
Feature: Clients that nobody controls end no process, and ordinary callers are still served
  The processes run on loopback with 80 MB of memory and 400 descriptors in their settings, of which
  200 are for files outside the data folder. The bounds follow from these settings alone. They are
  checked while the clients' connections are open, and one ordinary request is answered meanwhile.

  Scenario Outline: Many clients at an entry VM that <behaviour>
    Guards against an entry VM that <failure>.
    When <count> clients at the callers' port of entry-1 "<behaviour>"
    Then entry-1 lives within its memory and its descriptors
    And entry-1 serves a caller

    Examples:
      | count | behaviour                | failure                                                     |
      | 120   | leave_opening_unfinished | keeps what clients without a session send                   |
      | 120   | leave_message_unfinished | keeps every unfinished message                              |
      | 120   | leave_pieces_unfinished  | keeps every unfinished message that comes in small pieces   |
      | 40    | send_oversized_message   | keeps messages over the limit                               |
      | 60    | pipeline_statements      | reads statements whose answers are not read                 |
      | 60    | pipeline_writes          | reads long statements whose answers are not read            |
      | 120   | send_slowly              | waits for slow senders only                                 |
      | 120   | read_slowly              | keeps every answer that its caller does not read            |
      | 260   | stop_halfway             | gives all its connections to clients that stop midway       |
      | 260   | stay_silent              | gives all its connections to clients without a session      |
      | 1     | set_new_values           | keeps every value that one session sets                     |
      | 1     | prepare_new_statements   | keeps every statement that one session prepares             |

  Scenario Outline: Many clients at a control VM that <behaviour>
    Guards against a control VM that <failure>.
    When <count> clients at the control port of control-1 "<behaviour>"
    Then control-1 lives within its memory and its descriptors
    And control-1 answers a request for the configuration

    Examples:
      | count | behaviour             | failure                                               |
      | 120   | leave_head_unfinished | keeps unfinished heads of any length                  |
      | 60    | leave_body_unfinished | keeps every unfinished body                           |
      | 60    | send_body             | keeps many bodies of legal size at once               |
      | 260   | stay_silent           | gives all its connections to clients without requests |

  Scenario Outline: Many silent clients at the <port> port of an entry VM
    Guards against clients of one port that take the connections of the others.
    When 260 clients at the <port> port of entry-1 "stay_silent"
    Then entry-1 lives within its memory and its descriptors
    And the <port> port of entry-1 answers a request
    And entry-1 serves a caller

    Examples:
      | port      |
      | metrics   |
      | readiness |
      | relay     |

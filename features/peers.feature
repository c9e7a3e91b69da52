Feature: VMs exchange signed messages in a short form, and in JSON with VMs of older builds

  Scenario: The second message on a connection travels in less than half of the bytes of the first
    Given a VM that answers other VMs
    When a statement is relayed to it twice over one connection
    Then both answers are right
    And the second exchange had less than half of the bytes of the first

  Scenario: A VM of an older build, which answers in JSON, is sent JSON on each request
    Given a VM of an older build that answers other VMs
    When a statement is relayed to it twice over one connection
    Then both answers are right
    And no request had the short form

  Scenario: A VM of an older build, which does not offer the short form, is answered in JSON
    Given a VM that answers other VMs
    When a VM of an older build sends it a message
    Then the answer is JSON with the status 200

  Scenario Outline: A short message that was changed or cut off, or is of another fleet, is refused
    Given a VM that answers other VMs
    When it gets a short message that <fault>
    Then the status of the answer is <status>

    Examples:
      | fault                              | status |
      | was changed                        | 401    |
      | was cut off                        | 401    |
      | was signed by another fleet        | 401    |
      | was signed for another path        | 401    |
      | was signed and is no valid deflate | 400    |

  Scenario Outline: Any JSON survives the short form
    When JSON of about <size> bytes is put into the short form and read again
    Then it is unchanged

    Examples:
      | size   |
      | 2      |
      | 900    |
      | 6144   |
      | 400000 |

  Scenario: The counters of traffic tell the bytes by purpose and by the peer's zone
    Given a VM that answers other VMs
    When a statement is relayed to it twice over one connection
    Then the metrics tell the bytes of 2 exchanges for relays to the zone "z2"

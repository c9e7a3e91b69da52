Feature: The capacity page carries the slopes of the users' bench
  Scenario: A row of a sweep's table is compared with its limit at the target size
    Given the table that a sweep printed
      """
      middle / busiest or longest, by own machines
                                                  30             100  power  at 2047
      control: memory MB                 23.1 / 24.9     41.4 / 51.6   0.41  180
      config acked, ms                   63.0 / 155     1060 / 1198   1.02  25862
      entry: wake-ups a second             121 / 156     45.9 / 84.8  -0.62  84.8
      power: the busiest grows as machines to this power
      """
    Then the section has the row "| control: memory MB | 24.9 | 51.6 | 0.41 | 180 | 256 (the users' size) | yes |"
    And the section has the row "| entry: wake-ups a second | 156 | 84.8 | -0.62 | 84.8 |  |  |"
    And the section names a remedy for "config acked, ms" and for no other row

  Scenario: The section replaces its earlier version and leaves the rest of the page alone
    Given the table that a sweep printed
      """
      middle / busiest or longest, by own machines
                                                  30  power  at 2047
      control: memory MB                 23.1 / 24.9   0.41  180
      """
    Then writing it twice into the capacity page changes nothing else

@cold
Feature: Requests reach only endpoints and VMs in the regions that their route and workspace allow
  The simulated VMs h1 to h12 are in the zones z1, z2 and z3 in turn, and the endpoints b1 (the
  primary), b2 and b3 in z1, z2 and z3. The zones z1 and z2 are in the region east, z3 is in west.
  The routes are those of load.feature.

  Background:
    Given the zones "z1" and "z2" are in the region "east", and "z3" is in "west"

  Scenario: Reads of a restricted route are served in its region, through VMs of its region
    Guards against data that leaves its region in the body of a request.
    Given the route "bounded" is restricted to ["west"]
    When each VM sends 5 reads/s on "bounded" for 2 s
    Then all statements were served
    And requests reached only "b3"
    And statements were relayed only to VMs in "z3"

  Scenario: A restricted workspace is served in its region
    Given the workspace "w1" is restricted to ["west"]
    When each VM sends 5 reads/s on "bounded" for 2 s
    Then all statements were served
    And requests reached only "b3"
    And statements were relayed only to VMs in "z3"

  Scenario: Without a restriction requests reach every region
    Given the route "bounded" is restricted to []
    When each VM sends 5 reads/s on "bounded" for 2 s
    Then all statements were served
    And requests reached "b1", "b2" and "b3"

  Scenario: Where both the route and the workspace are restricted, both apply
    Given the route "bounded" is restricted to ["east","west"]
    And the workspace "w1" is restricted to ["west","north"]
    When each VM sends 5 reads/s on "bounded" for 2 s
    Then requests reached only "b3"

  Scenario: A request that no allowed endpoint can serve is refused at once
    Guards against requests that wait for an endpoint that may never serve them.
    Given the route "latest" is restricted to ["west"]
    When each VM sends 5 writes/s on "latest" for 2 s
    Then no request reached an endpoint
    And the others were refused within 0.05 s as not run
    And the refusals say "outside the allowed regions"
    And the metrics of "h3" count the refusals with this reason

  Scenario: Restrictions without a common region refuse every request
    Given the route "bounded" is restricted to ["east"]
    And the workspace "w1" is restricted to ["west"]
    When each VM sends 5 reads/s on "bounded" for 2 s
    Then no request reached an endpoint
    And the others were refused within 0.05 s as not run

  Scenario: Statements are not relayed to VMs of other regions while a zone has no VMs
    Guards against home VMs of another region that stand in for those of a zone without VMs.
    Given no VM of "z3" serves callers
    And the route "bounded" is restricted to ["west"]
    When each VM sends 5 reads/s on "bounded" for 2 s
    Then all statements were served
    And requests reached only "b3"
    And no statement was relayed

  Scenario: Retries stay in the region
    Given the route "bounded" is restricted to ["west"]
    And "b3" answers each second statement that it is busy
    When each VM sends 2 reads/s on "bounded" for 2 s
    Then requests reached only "b3"

  Scenario Outline: A change applies from the next transaction on
    Guards against open transactions that a change to a restriction cuts.
    Given a session "a" on "latest" at "h3" in a transaction with <count> statements
    When the <kind> "<name>" is restricted to ["west"]
    And "a" writes and commits
    Then the statements of "a" were served
    When "a" begins another transaction and writes
    Then the last statement of "a" was refused as not run

    Examples:
      | count | kind      | name   |
      | 1     | route     | latest |
      | 0     | route     | latest |
      | 1     | workspace | w1     |
      | 0     | workspace | w1     |

  Scenario: Restrictions and limits travel in the control log, in snapshots and in differences
    Guards against a build that cannot read what the other one wrote.
    Given the route "bounded" is restricted to ["west"]
    And the workspace "w1" is restricted to ["east"]
    And cold endpoints take 10 requests/s, and are cold for 30 s after an evacuation
    Then every VM has the restrictions and the limit
    And so has a VM that loads a snapshot
    And the rows of routes, groups and workspaces are those of the previous build
    And a difference of the previous build keeps them
    When the route "bounded" is restricted to []
    Then no VM restricts the route "bounded", and the workspace "w1" is restricted to ["east"]

  Scenario Outline: Lists of regions are checked
    Then a configuration with the allowedRegions <regions> is <verdict>

    Examples:
      | regions         | verdict |
      | ["west"]        | valid   |
      | ["east","west"] | valid   |
      | []              | valid   |
      | null            | valid   |
      | "west"          | invalid |
      | [1]             | invalid |
      | [""]            | invalid |
      | [["west"]]      | invalid |
      | {"west":true}   | invalid |
      | 0               | invalid |
      | false           | invalid |

  Scenario Outline: Limits of cold endpoints are checked
    Then a configuration with the coldPerS <rate> and the coldStartS <time> is <verdict>

    Examples:
      | rate  | time | verdict |
      | 10    | 30   | valid   |
      | 0.5   | 2.5  | valid   |
      | 0     | 0    | valid   |
      | null  | null | valid   |
      | -1    | 30   | invalid |
      | 10    | -1   | invalid |
      | "10"  | 30   | invalid |
      | ""    | 30   | invalid |
      | false | 30   | invalid |
      | 10    | [30] | invalid |

  Scenario Outline: An announcement tells how long its endpoint stays cold
    Then an announcement with the coldRemainingMs <value> is valid and says <meaning>

    Examples:
      | value  | meaning |
      | 1500   | 1.5     |
      | 0      | 0       |
      | 12.5   | 0.0125  |
      | null   | nothing |
      | -1     | nothing |
      | "1500" | nothing |
      | true   | nothing |
      | 1e300  | nothing |

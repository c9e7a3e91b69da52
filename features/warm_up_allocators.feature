@simulation
Feature: The control leader names the VMs that grant tokens for cold endpoints
  Each VM needs the same answer to the question who grants, so that no two do at the same time. The
  simulated control VMs v1 to v3 are in the zones z1 to z3, the standby s1 is in z1, and the VMs o1
  and o2 without a disk are in z2 and z3.

  Scenario: Each zone with endpoints of a limited group gets an allocator of its own zone
    Given a running fleet
    When cold endpoints are declared to take 10 requests/s
    Then the endpoints of "z1", "z2" and "z3" have allocators of their own zones

  Scenario: A lost allocator is replaced, by a VM of another zone if its own has none
    Guards against cold endpoints that get no request while their zone's control VM is down.
    Given a running fleet
    When cold endpoints are declared to take 10 requests/s
    And v2 is killed
    And o1 is killed
    And 5 s pass
    Then the endpoints of "z2" have an allocator of another zone, of epoch 2
    When v2 restarts
    And 5 s pass
    Then the endpoints of "z2" have an allocator of another zone, of epoch 2

  Scenario: Without a limit no allocator is named
    Given a running fleet
    When cold endpoints are declared to take 0 requests/s
    Then no allocator of cold endpoints is named

Feature: Measuring load never costs more than its budget

  Scenario Outline: As many entries as allowed run for a minute
    Given 20 entries of <deployment> that measure load
    When all entries run for 60 s
    Then probes were sent and no target served more of them than its budget

    Examples:
      | deployment  |
      | cooperative |
      | prairie     |

  Scenario: A process pauses and wakes up late
    Given 20 entries of prairie that measure load
    When all entries run for 10 s
    And one entry sleeps for 40 s while the others run
    And all entries run for 10 s
    Then probes were sent and no target served more of them than its budget

  Scenario: Entries join while one of them sleeps
    Given 10 entries of cooperative that measure load
    When one entry sleeps for 20 s while the others run
    And 10 more entries are started
    And all entries run for 40 s
    Then probes were sent and no target served more of them than its budget

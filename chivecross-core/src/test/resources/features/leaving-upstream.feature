Feature: An upstream that is leaving receives no new work after a few seconds

  Scenario: An upstream drains and says so in its answers
    Given 1 entries of cooperative that measure load
    When an upstream says in an answer that it is leaving
    Then within 2 s no entry sends it new work

  Scenario: The list of VMs names it first
    Given 1 entries of prairie that measure load
    When the list of VMs says that an upstream is leaving
    Then within 2 s no entry sends it new work

  Scenario: A health report names it, and an older one comes late
    Given 1 entries of prairie that measure load
    When a health report says that an upstream is leaving
    And an older health report says that it stays
    Then within 2 s no entry sends it new work

  Scenario: The configuration service is down and only one entry knows
    Given 2 entries of cooperative that measure load
    When an upstream says in an answer that it is leaving
    And the other entry is informed by its peer
    Then within 2 s no entry sends it new work

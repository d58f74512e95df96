Feature: A load confirmation, a deposit or a booking runs at most once

  Scenario: A server sheds a confirmation before running it
    Given the entries of the Cooperative
    When a clerk confirms load-1
    And the upstream sheds load-1 before running it
    And another upstream is tried for load-1
    And the upstream receives load-1
    And the upstream runs load-1
    And the upstream answers load-1
    Then the caller of load-1 gets the whole answer
    And load-1 ran 1 time

  Scenario: A clerk sends a confirmation twice
    Given the entries of the Cooperative
    When a clerk confirms load-1
    And the upstream receives load-1
    And load-1 is sent again to the same entry as load-2
    And the upstream runs load-1
    And the upstream answers load-1
    Then the caller of load-2 is told unknown
    And load-1 ran 1 time

  Scenario: The re-send reaches another entry
    Given the entries of the Cooperative
    When a clerk confirms load-1
    And the upstream receives load-1
    And the upstream runs load-1
    And the upstream answers load-1
    And load-1 is sent again to another entry as load-2
    Then the caller of load-2 is told answered
    And load-1 ran 1 time

  Scenario: The entry that owns the key has died
    Given the entries of Prairie Screenworks
    When the office books deposit-1
    And the upstream receives deposit-1
    And the upstream runs deposit-1
    And the entry dies
    And deposit-1 is sent again to another entry as deposit-2
    Then the caller of deposit-2 is told unknown
    And deposit-1 ran 1 time

  Scenario: The network between the entries is partitioned
    Given the entries of Prairie Screenworks
    When the office books deposit-1
    And the upstream receives deposit-1
    And deposit-1 is sent again to another entry as deposit-2 and the entries are cut off
    And the upstream runs deposit-1
    And the upstream answers deposit-1
    Then the caller of deposit-2 is told unknown
    And deposit-1 ran 1 time

  Scenario: A lost connection and a partition together
    Given the entries of Prairie Screenworks
    When the office books deposit-1
    And the upstream receives deposit-1
    And the connection of deposit-1 is lost
    And deposit-1 is sent again to another entry as deposit-2 and the entries are cut off
    And the upstream runs deposit-1
    Then the caller of deposit-1 is told unknown
    And the caller of deposit-2 is told unknown
    And deposit-1 ran 1 time

  Scenario: A pause and a dying entry together
    Given the entries of the Cooperative
    When a clerk confirms load-1
    And the upstream receives load-1
    And the entry pauses past the deadline
    And the upstream runs load-1
    And the entry dies
    And load-1 is sent again to another entry as load-2
    Then the caller of load-2 is told unknown
    And load-1 ran 1 time

  Scenario: Photos are not sent twice after their body began
    Given the entries of Prairie Screenworks
    When a crew uploads photos-1
    And the upstream receives photos-1
    And the upstream runs photos-1
    And the connection of photos-1 is lost
    Then the caller of photos-1 is told unknown
    And photos-1 ran 1 time

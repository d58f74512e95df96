Feature: When a caller is told that a request was not run, it was not run

  Scenario: No upstream takes the connection
    Given the entries of the Cooperative
    When a clerk confirms load-1
    And the upstream refuses the connection of load-1
    And another upstream is tried for load-1
    And the upstream refuses the connection of load-1
    Then load-1 ran 0 times

  Scenario: A process pauses and wakes up late
    Given the entries of the Cooperative
    When a clerk confirms load-1
    And the entry pauses past the deadline
    And the upstream receives load-1
    Then the caller of load-1 is told expired
    And load-1 ran 0 times

  Scenario: A connection is lost after the request was sent
    Given the entries of the Cooperative
    When a clerk confirms load-1
    And the upstream receives load-1
    And the connection of load-1 is lost
    Then the caller of load-1 is told unknown

  Scenario: An open connection goes silent for good
    Given the entries of the Cooperative
    When a clerk confirms load-1
    And the upstream receives load-1
    And the connection of load-1 stays silent until its deadline
    Then the caller of load-1 is told unknown

  Scenario: A server fails fast without proof
    Given the entries of Prairie Screenworks
    When the office books deposit-1
    And the upstream fails deposit-1 fast
    And the relayed answer of deposit-1 ends
    And deposit-1 is sent again to the same entry as deposit-2
    Then the caller of deposit-2 is told unknown
    And deposit-1 ran 0 times

  Scenario: A server sheds photos whose body was already sent
    Given the entries of Prairie Screenworks
    When a crew uploads photos-1
    And the upstream sheds photos-1 before running it
    Then the caller of photos-1 is told not-run
    And photos-1 ran 0 times

  Scenario: A booking is cancelled before its late copy arrives
    Given the entries of Prairie Screenworks
    When the office cancels booking-1
    And booking-1 is sent again to another entry as booking-2
    Then the caller of booking-2 is told not-run
    And booking-1 ran 0 times

  Scenario: A pause and a lost connection together
    Given the entries of Prairie Screenworks
    When the office books deposit-1
    And the upstream receives deposit-1
    And the entry pauses past the deadline
    And the connection of deposit-1 is lost
    And the upstream runs deposit-1
    Then the caller of deposit-1 is told unknown
    And deposit-1 ran 1 time

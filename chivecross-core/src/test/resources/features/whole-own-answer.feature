Feature: Everyone receives the whole answer to their own request

  Scenario: A dispatcher reads load slots
    Given the entries of the Cooperative
    When a dispatcher reads slots-1
    And the upstream receives slots-1
    And the upstream runs slots-1
    And the upstream answers slots-1
    Then the caller of slots-1 gets the whole answer

  Scenario: A server fails fast while a sheet is read
    Given the entries of Prairie Screenworks
    When a fitter reads sheet-1
    And the upstream fails sheet-1 fast
    And another upstream is tried for sheet-1
    And the upstream receives sheet-1
    And the upstream runs sheet-1
    And the upstream answers sheet-1
    Then the caller of sheet-1 gets the whole answer

  Scenario: An answer breaks in its middle
    Given the entries of Prairie Screenworks
    When a fitter reads sheet-1
    And the upstream receives sheet-1
    And the upstream runs sheet-1
    And the upstream begins to answer sheet-1
    And the connection of sheet-1 is lost
    Then the caller of sheet-1 sees a broken answer

  Scenario: Answers arrive out of order
    Given the entries of the Cooperative
    When a dispatcher reads slots-1
    And a dispatcher reads slots-2
    And the upstream receives slots-1
    And the upstream receives slots-2
    And the upstream runs slots-2
    And the upstream answers slots-2
    And the upstream runs slots-1
    And the upstream answers slots-1
    Then the caller of slots-1 gets the whole answer
    And the caller of slots-2 gets the whole answer

  Scenario: An owner goes away while the map is answered
    Given the entries of the Cooperative
    When an owner uploads map-1
    And the upstream receives map-1
    And the upstream runs map-1
    And the upstream begins to answer map-1
    And the caller of map-1 goes away
    Then map-1 ran 1 time

  Scenario: An answer breaks after a pause past the deadline
    Given the entries of Prairie Screenworks
    When a fitter reads sheet-1
    And the upstream receives sheet-1
    And the upstream runs sheet-1
    And the upstream begins to answer sheet-1
    And the entry pauses past the deadline
    And the connection of sheet-1 is lost
    Then the caller of sheet-1 sees a broken answer

Feature: A configuration once accepted never reverts to an older one

  Scenario: A stale configuration service offers an old set
    Given an entry with version 0.7 in force
    When it receives the good set 0.6
    Then version 0.7 is in force

  Scenario: A bad set is published
    Given an entry with version 0.7 in force
    When it receives the bad set 0.8
    Then version 0.7 is in force
    When it receives the good set 0.9
    Then version 0.9 is in force

  Scenario: The platform was built anew and a late old set comes twice
    Given an entry with version 0.7 in force
    When it receives the good set 1.2
    And it receives the good set 0.900
    And it receives the good set 0.900
    Then version 1.2 is in force

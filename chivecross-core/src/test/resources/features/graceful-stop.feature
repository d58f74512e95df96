Feature: A planned stop cuts off no request in flight

  Scenario: A request is in flight when the stop is asked for
    Given an entry with a request in flight that was named to callers for 5000 ms
    When 10 s pass
    Then the entry still serves
    When the request in flight ends
    Then the entry has stopped and cut nothing off

  Scenario: Callers still hold an answer that names the entry
    Given an entry with a request in flight that was named to callers for 5000 ms
    When the request in flight ends
    And 4 s pass
    Then the entry still serves
    When 4 s pass
    Then the entry has stopped and cut nothing off

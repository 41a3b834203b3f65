Feature: A target that is leaving receives no new work
  A few seconds after the news nobody sends it anything new, even when the news comes late.

  Scenario Outline: One fault
    Given a fleet that serves the old release to callers of every kind
    When <fault>
    Then no leaving target took new work
    And all else that must always hold did so
    And callers got answers
    And the fleet comes to serve what is declared

    Examples:
      | fault                                |
      | a target's host is listed as leaving |
      | an operator drains a target's host   |

  Scenario Outline: Two faults together
    Given a fleet that serves the old release to callers of every kind
    When <fault>
    And <other fault>
    Then no leaving target took new work
    And all else that must always hold did so
    And callers got answers
    And the fleet comes to serve what is declared

    Examples:
      | fault                               | other fault                          |
      | the list of hosts lags by 3 seconds | a target's host is listed as leaving |
      | an entry is paused and resumes      | a target's host is listed as leaving |

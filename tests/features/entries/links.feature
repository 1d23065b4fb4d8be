Feature: Links between entry instances

  Scenario: Members of a zone find each other and agree on a term
    Given peer hubs "e1, e2, e3" in one zone
    When hub "e1" announces a term
    Then all hubs obey the term of "e1"

  Scenario: An instance without the cluster secret is not admitted
    Given peer hubs "e1, e2" in one zone
    When hub "e3" joins with another cluster secret
    Then the hubs "e1, e2" still answer calls and do not know "e3" as live

  Scenario: Malformed bytes close only their own connection
    Given peer hubs "e1, e2" in one zone
    When an unauthenticated client sends random bytes to "e1"
    Then the client's connection is closed and "e1" still answers "e2"

  Scenario: A dead instance is detected and linked again after its restart
    Given peer hubs "e1, e2" in one zone
    When hub "e2" is killed
    Then hub "e1" reports that "e2" is lost
    And hub "e2" is linked again after a restart

  Scenario: A call that may have been handled is not reported as unsent
    Given peer hubs "e1, e2" in one zone
    When "e1" calls "e2", which is killed before it answers
    Then the peer call failed and the outcome is unknown
    And a call to "e2" without a link says that nothing was sent

  Scenario: A late answer is ignored
    Given peer hubs "e1, e2" in one zone
    When a call of "e1" times out before "e2" answers it
    Then the late peer answer is ignored and the next call gets its own answer

  Scenario: A repeated call is handled once
    Given peer hubs "e1, e2" in one zone
    When "e1" sends the same call twice to "e2"
    Then "e2" handled one call

  Scenario: Only coordinators hold links across zones
    Given peer hubs "e1, e2" in one zone
    And peer hub "f1" in another zone
    When hubs "e1" and "f1" announce their terms
    Then "e1" and "f1" are linked but "e2" and "f1" are not

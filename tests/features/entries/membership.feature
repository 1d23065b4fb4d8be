Feature: Membership, coordinator choice and terms

  Scenario: A silent instance becomes suspect, then dead
    Given a membership of "e2" with live instances "e1, e3"
    When 1,000 ms pass without a message from "e1"
    Then "e1" is "suspect" and the proposed coordinator is "e1"
    When 2,000 ms pass without a message from "e1"
    Then "e1" is "dead" and the proposed coordinator is "e2"

  Scenario: A draining instance is not proposed as coordinator
    Given a membership of "e2" with live instances "e1, e3"
    When "e1" says that it is draining
    Then "e1" is "draining" and the proposed coordinator is "e2"

  Scenario: A resumed instance does not propose itself at once
    Given a membership of "e2" with live instances "e1, e3"
    Then after a pause of 5 s it proposes no coordinator before it is linked

  Scenario: A fast restart under the same id counts as a loss
    Given a membership of "e2" with live instances "e1, e3"
    When "e1" connects with a new incarnation
    Then the listener was notified that "e1" was lost and linked again

  Scenario: A former coordinator's lower term is refused
    Given a membership of "e2" with live instances "e1, e3"
    When "e2" starts a term after it saw term 7 of "e1"
    Then the term is 8 of "e2" and term 7 of "e3" is refused

  Scenario: A restarted coordinator does not act under its earlier term
    Given a membership of "e2" with live instances "e1, e3"
    Then a membership that sees term 7 of its own id is not coordinator

  Scenario: The adopted term never decreases, in whatever order terms arrive
    Then the term seen by a membership is the highest of any sequence

  Scenario: Digests wait while the byte budget is exhausted
    Given a byte budget of 9000 bytes per second
    When 27000 bytes of control messages are sent at once
    Then digests wait for 2 s and control messages are never delayed

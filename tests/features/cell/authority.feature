Feature: A leader that the store does not confirm stops starting tasks

  Scenario: A leader without a confirmation starts nothing
    Guards against two leaders that start the same job, if the former one is cut
    off from the store (review case 4).
    Given a cell with 2 workers and 2 instances
    And the other instance neither vouches for the leader nor takes over
    When the leader gets no answers to its writes for 2.5 s
    And another job is submitted to the former leader at once
    Then no worker starts that task in 1 s
    When the leader gets answers to its writes again
    Then the other job is completed
    And the other job was started once

  Scenario: The next leader waits for workers that only the former one reaches
    Guards against a job that the next leader starts as well, since a worker that
    does not answer it may answer the former leader (review case 4).
    Given a cell with 2 workers and 2 instances
    And the first worker does not answer the second fencing token
    When a claim of the other instance takes effect late
    And a job of 2 tasks of 4000 ms on both workers is submitted to the former leader
    And the first worker has begun a task
    And the first worker answers the second fencing token after 3 s
    Then the other job is completed
    And no task ran in two places
    And each task of the other job was started once

  Scenario: Jobs that are stored after the former leader has stopped do not wait
    Guards against a cell that stands still for as long as a worker does not answer.
    Given leases of a former leader that end after 20 s
    And a cell with 2 workers and 2 instances
    And the first worker does not answer the second fencing token
    When a claim of the other instance takes effect late
    And 3.5 s pass
    Then a new job of 1 tasks completes on the other instances within 1 s

  Scenario: A leader whose heartbeat comes back is not replaced
    Guards against a successor that takes the former leader to be unconfirmed for
    longer than it is.
    Given a cell with 1 workers and 2 instances
    When the other instance claims after a heartbeat that it has not seen
    Then the leader is the same as before

  Scenario: Tasks go on in an outage of the store that all instances see
    Guards against tasks that are ended by a long outage.
    Given leases that end 3 s after the latest confirmation
    And a cell with 1 workers and 2 instances
    When a job with the payload "ms=4500" is submitted and has begun
    And the store refuses every call for 5 s
    And the store answers again
    Then every instance shows the job as "completed"
    And each of its tasks was started once

  Scenario: Tasks start in an outage of the store that all instances see
    Guards against a cell that stands still although nobody can be elected.
    Given a cell with 1 workers and 2 instances
    And the workspace may use 1000 millicores
    When another job of 12 tasks with 1000 millicores each is submitted
    And the store is silent for 5 s
    Then tasks of the other job have started more than 3 s after the outage began

  Scenario: Leases end in an outage if an instance does not vouch for the leader
    Guards against tasks that the next leader takes to have ended, while the former
    one renews the leases of workers which the next one does not reach.
    Given leases that end 3 s after the latest confirmation
    And a cell with 1 workers and 2 instances
    And the other instance does not vouch for the leader
    When a job with the payload "ms=60000" is submitted and has begun
    And the store refuses every call for 4.5 s
    Then the task has lapsed

  Scenario Outline: The limits of the former leader follow from what is known
    Guards against a wait that is too short to be safe.
    Then the starts of a leader that <ended> end <starts> s after 100 s
    And the leases of a leader that <ended> end <leases> s after 100 s

    Examples:
      | ended                      | starts | leases |
      | has released               | -inf   | 6.3    |
      | has stopped starting       | -inf   | 6.73   |
      | was last confirmed at then | 2.55   | 6.73   |

  Scenario: Starts are suspended while an offer of the leadership may be taken
    Guards against a former leader that starts jobs after another instance took
    its offer, as the answer was lost.
    Given a leader that was confirmed just now
    When it suspends its starts for an offer
    Then it may not send starts
    When a heartbeat that was sent before is confirmed
    Then it may not send starts
    When a heartbeat that was sent afterwards is confirmed
    Then it may send starts

  Scenario Outline: An offer of the leadership suspends the starts of the leader
    Guards against starts beside the next leader, and against a cell that stands
    still because nobody takes the offer.
    Given a cell with 1 workers and 2 instances
    When the leader offers its leadership and the other instance <answer>
    Then the leader <may> send starts

    Examples:
      | answer                 | may     |
      | declines               | may     |
      | refuses the connection | may     |
      | does not answer        | may not |

  Scenario: An offer that is declined does not undo one without an answer
    Guards against a former leader that starts jobs again because the next
    leader declines a second offer.
    Given a cell with 1 workers and 2 instances
    When the leader offers its leadership and the other instance does not answer
    And the leader offers its leadership and the other instance declines
    Then the leader may not send starts

  Scenario: An offered leadership is known to have stopped starting
    Guards against new jobs that wait for silent workers after a hand-over.
    Given a cell with 1 workers and 2 instances
    When the other instance takes the offer of a leader that has stopped
    Then the next leader knows that nothing is started any more

  Scenario Outline: The earlier process of an instance proves what it replaced
    Guards against jobs that wait for silent workers after all instances were
    killed, and against starts of the leader before, if the claim was late.
    Given a cell with 1 workers and 2 instances
    Then <beats> heartbeats of epoch <epoch> under its name prove <proof>

    Examples:
      | beats | epoch | proof                  |
      | 40    | 5     | that none is left      |
      | 20    | 5     | nothing                |
      | 40    | 4     | nothing                |

  Scenario: No start is sent after a leadership was released
    Guards against a start that is repeated although the next leader takes its
    predecessor to have stopped.
    Given a leader that was confirmed just now
    Then it may send starts
    When it is about to release its leadership
    Then it may not send starts

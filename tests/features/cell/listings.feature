Feature: Ends that workers list take effect before they are acknowledged

  Scenario: An end that is listed before the row of its job takes effect
    Guards against a task that is started again after it was done, since its end
    was acknowledged while its job was not known yet.
    Given a cell with 2 workers and 1 instances
    And a worker lists a done task of an unknown job
    When the job of the done task is submitted
    Then the other job is completed
    And no worker has started a task

  Scenario: The end of a job that is not stored is acknowledged
    Guards against ends that a worker lists for good.
    Given a cell with 1 workers and 1 instances
    And a worker lists a done task of an unknown job
    Then the worker lists no end after at most 4 s

  Scenario: Ends after the end of an unknown job take effect at once
    Guards against tasks that seem to run while one end cannot be acknowledged.
    Given a cell with 1 workers and 1 instances
    And the feed of jobs has no answers
    And a worker lists a done task of an unknown job
    When a job of 3 tasks is submitted
    Then every instance shows the job as "completed"
    And the worker still lists the end of the unknown job

  Scenario: Ends that a worker withholds are not taken for lost runs
    Guards against tasks that are started again although they are done, since a
    worker lists only the first ends that are not acknowledged (review case 2).
    Given a cell with 2 workers and 1 instances
    And workers that list 10 ends at a time
    When a job of 60 tasks of 1000 ms is submitted and all have begun
    And the store refuses every call until they are done and 1.5 s longer
    And the store answers again
    Then every instance shows the job as "completed"
    And each of its tasks was started once

  Scenario: The next leader waits for the ends that a worker withholds
    Guards against tasks that the next leader starts again although they are
    done, since it has seen only the first ends of a worker.
    Given a cell with 2 workers and 2 instances
    And workers that list 10 ends at a time
    When a job of 60 tasks of 1000 ms is submitted and all have begun
    And the store refuses every call until they are done and 0.5 s longer
    And the leader ends
    And the store answers again
    Then the other instances show the job as "completed"
    And each of its tasks was started once

  Scenario: A run of an unknown job whose end is withheld is not repeated
    Guards against a run that is started again as it is listed neither as
    running nor as ended, while the row of its job has not arrived.
    Given a cell with 2 workers and 1 instances
    And workers that list 10 ends at a time
    And the feed of jobs has no answers
    And the worker runs a task of an unknown job
    When the worker lists 20 ends of another unknown job
    And the task of the unknown job is done
    And the job of the done task is submitted
    Then no worker starts that task in 1 s

  Scenario: A list of as many ends as a worker lists at a time may be cut
    Guards against conclusions from the absence of a run in such a list.
    Then a listing of 499 ends is complete
    And a listing of 500 ends is not complete

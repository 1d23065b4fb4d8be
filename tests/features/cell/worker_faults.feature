Feature: Commands to workers may be lost, delayed or refused

  Scenario: A start without an answer is resolved before the task starts again
    Guards against two runs of one task, the first of them started without an
    answer (trouble-1 of quetzal-claims).
    Given a cell with 2 workers and 1 instances
    And the workers carry out the next start without an answer
    When a job with the payload "ms=900" is submitted
    Then every instance shows the job as "completed"
    And each of its tasks was started once

  Scenario: A refused start is not repeated
    Guards against a start that is repeated after its task was placed again.
    Given a cell with 2 workers and 1 instances
    And one worker refuses starts with 503
    When a job of 4 tasks is submitted
    Then every instance shows the job as "completed"
    And each of its tasks was started once

  Scenario: The tasks of a worker that has ended run on another worker
    Guards against waiting for a worker that is known to be gone.
    Given a cell with 2 workers and 1 instances
    When a job with the payload "ms=400" is submitted and has begun
    And the worker that runs it ends
    Then every instance shows the job as "completed"
    And no task ran in two places

  Scenario: A worker that is cut off and refuses connections keeps its runs
    Guards against a second run of a task that continues behind a network cut
    (found by hunt 2fe06252, `workers-cut-off` of quetzal-claims).
    Given a cell with 2 workers and 1 instances
    When a job with the payload "ms=3500" is submitted and has begun
    And the worker that runs it refuses connections for 2500 ms
    Then every instance shows the job as "completed"
    And each of its tasks was started once

  Scenario: A worker whose process ends is removed at once
    Guards against waiting until the lease expires, although the worker has left
    at short notice (scale-1 of quetzal-claims-grown, 11 workers, 4.5 s).
    Given a cell with 2 workers and 1 instances
    When a job with the payload "ms=1500" is submitted and has begun
    And the process of the worker that runs it ends
    Then the job is completed within 4 s
    And no task ran in two places

  Scenario: A worker that stops answering at a start is removed after its lease
    Guards against repeated start commands that extend the lease of a worker
    that is gone, so that its tasks wait forever (found by hunt ec399a40, LOST).
    Given a cell with 2 workers and 1 instances
    And the first worker stops answering at its next start
    When a job of 2 tasks is submitted
    Then the job is completed within 9 s
    And no task ran in two places

  Scenario: A draining worker gets no new tasks
    Guards against tasks on a worker that is about to leave.
    Given a cell with 2 workers and 1 instances
    When one worker reports that it is draining
    And a job of 4 tasks is submitted
    Then every instance shows the job as "completed"
    And the draining worker started nothing

  Scenario: A start that got no answer is not repeated while its worker drains
    Guards against a task that starts long after its worker reported that it is
    draining (DRAIN).
    Given a cell with 2 workers and 1 instances
    And the first worker loses the next 6 starts
    When a job of 1 tasks is submitted
    And one worker reports that it is draining
    Then every instance shows the job as "completed"
    And the draining worker started nothing

  Scenario: Unreadable registrations of workers are ignored
    Guards against a registration of another writer that ends the task which
    follows the registrations.
    Given a cell with 1 workers and 1 instances
    When unreadable registrations appear among the workers
    And a job of 1 tasks is submitted
    Then every instance shows the job as "completed"

  Scenario: A worker that was cut off for longer than its lease is used again
    Guards against a worker that is idle for good after a network cut, since its
    registration does not change.
    Given a cell with 1 workers and 1 instances
    When the worker is cut off until it is removed
    And a job of 1 tasks is submitted
    Then the job is completed within 4 s

  Scenario: A worker that cannot be reached when it joins is used later
    Guards against a worker that is idle for good since its first connection
    failed.
    Given a cell with 1 workers and 1 instances
    When a worker joins that accepts connections after 1500 ms
    Then the leader uses 2 workers within 4 s

  Scenario: The lease of a worker that was restarted ends on its new clock
    Guards against tasks that wait for the lease of an earlier incarnation, which
    had a much later clock.
    Given a cell with 2 workers and 1 instances
    And the clock of the first worker is at 100 s when it restarts under its id
    And the first worker stops answering at its next start
    When a job of 2 tasks is submitted
    Then the job is completed within 9 s
    And no task ran in two places

  Scenario: A refused stop of an unknown run is repeated
    Guards against a worker that gets no tasks for as long as it runs a task of
    an unknown job.
    Given a cell with 1 workers and 1 instances
    And the first worker refuses the next 2 stops
    And the worker runs a task of an unknown job
    When a job of 1 tasks is submitted
    Then the job is completed within 6 s

  Scenario: A gang starts beside a worker that refuses all starts
    Guards against a gang that is placed on the same unhealthy worker again and
    again, although it fits on the others.
    Given a cell with 3 workers and 1 instances
    And one worker refuses starts with 503
    When a gang of 20 tasks is submitted
    Then the job is completed within 8 s

  Scenario: Tasks start beside a worker that rejects all starts
    Guards against a task that is placed on the same worker again and again,
    although that worker rejects its start.
    Given a cell with 2 workers and 1 instances
    And one worker refuses starts with 400
    When a job of 4 tasks is submitted
    Then the job is completed within 8 s

  Scenario: Registrations without a usable address are ignored
    Guards against a registration of another writer that ends every leadership.
    Given a cell with 1 workers and 1 instances
    When registrations without a usable address appear among the workers
    Then the instance is still in its first leadership
    When a job of 1 tasks is submitted
    Then every instance shows the job as "completed"

  Scenario: A worker that left while the history was lost is not contacted again
    Guards against new connections to a worker that is gone, until the next
    election.
    Given a cell with 1 workers and 1 instances
    When the worker leaves for good while the store forgets its history
    Then the leader opens no new session in 3 s

  Scenario: Tasks start elsewhere if a worker answers everything but starts
    Guards against a task that waits for ever for the answer to its start, since
    the lease of its worker is renewed meanwhile.
    Given a cell with 2 workers and 1 instances
    And the first worker loses the next 1000 starts
    When a job of 4 tasks is submitted
    Then the job is completed within 14 s
    And no task ran in two places

  Scenario: A worker that stays unreachable is tried less and less often
    Guards against thousands of connections and log lines a second, if many
    registered workers cannot be reached.
    Given a cell with 1 workers and 1 instances
    When a worker joins that accepts no connection
    Then within 8 s at most 4 sessions with it are opened
    And each change of its state is logged once

  Scenario: A worker that registers anew while it is tried is used soon
    Guards against a restarted worker that is idle for up to 8 s, since its
    registration arrived during a session that failed (LOST).
    Given a cell with 1 workers and 1 instances
    When a worker joins that never answers
    And it registers anew during the third session, which fails
    Then the leader uses 2 workers within 3 s

  Scenario: The pause before a new session has an upper limit
    Guards against a worker that is idle for good since it was unreachable for
    long.
    Given a worker that was given up 6 times
    Then the pauses were "1 2 4 8 8 8" s
    When the worker has answered and is given up again
    Then the last pause was 1 s

  Scenario: A long run that shows no progress for a while is not stopped
    Guards against a task that is stopped again and again and never completes,
    since one percent of it takes longer than the limit for stuck runs.
    Given a cell with 2 workers and 1 instances
    When a job of 400 s that declares its run time is submitted and has begun
    Then its task was started once after 8 s

  Scenario Outline: The limit for stuck runs grows with the run time
    Guards against a task that never completes, though its declared run time is
    too short.
    Then a task of <expected> s that avoids <avoided> workers is stuck after <limit> s

    Examples:
      | expected | avoided | limit |
      | 1        | 0       | 3     |
      | 1        | 1       | 3     |
      | 1        | 2       | 6     |
      | 1        | 3       | 12    |
      | 1        | 99      | 192   |
      | 400      | 0       | 16    |

  Scenario: A worker that comes back as another kind gets no task of the former
    Guards against a task on a worker without its label, as the registration of
    the former process is still the latest that was read (review case 5).
    Given a cell with 1 workers and 1 instances
    When the worker crashes and comes back as kind "b" without access to the store
    And a job that requires label "a" is submitted
    Then no worker starts that task in 1 s
    When the worker crashes and comes back as kind "a" with access to the store
    Then every instance shows the job as "completed"

  Scenario: A worker that is replaced without a sign gets no task of the former
    Guards against a task on a worker without its label, as the connections to
    the former process were silenced and not closed, so that its end shows only
    after seconds (review case 5).
    Given a cell with 1 workers and 1 instances
    When another process of kind "b" takes its place without a sign
    And a job that requires label "a" is submitted
    Then no worker starts that task in 1 s
    When the worker crashes and comes back as kind "a" with access to the store
    Then every instance shows the job as "completed"

  Scenario: A pending start does not reach the next process of its worker
    Guards against a start with a lease on the clock of the former process, as the
    registration of the next one is read before its first list (review case 12).
    Given a cell with 1 workers and 1 instances
    When the worker is replaced without a sign while a job of 9000 ms waits for its start
    Then the next process does not carry out the first start

  Scenario: A task of a replaced worker that is cut off runs in one place
    Guards against a second run of a task before the first one's lease has ended:
    the leader counted it from a start that was pending while the worker was
    replaced (review case 12, TWICE).
    Given a cell with 1 workers and 1 instances
    When the worker is replaced without a sign while a job of 9000 ms waits for its start
    And the worker is cut off once the task runs, and another worker joins
    Then the task runs on the other worker
    And no task ran in two places

  Scenario Outline: A start <moment> is meant for one process of its worker, kind "<kind>" next
    Guards against a start that is carried out by the next process of its worker,
    which has another clock and may be of another kind (review cases 12 and 15).
    Given a cell with 1 workers and 1 instances
    And the clock of the worker is 1000 s ahead
    When the worker is replaced by one of kind "<kind>" <moment> of a task for kind "a"
    Then the next process carries out no start of the former run
    And no lease that the next process was asked for exceeds 6 s
    And a next process of kind "<kind>" starts the task <count> times

    Examples:
      | moment                     | kind | count |
      | before the first attempt   | a    | 1     |
      | before the first attempt   | b    | 0     |
      | after an attempt was lost  | a    | 1     |
      | after an attempt was lost  | b    | 0     |
      | after an answer was lost   | a    | 1     |
      | after an answer was lost   | b    | 0     |

  Scenario Outline: A stop that is pending <moment> harms no next process, kind "<kind>"
    Guards against a stop, or its answer, that the leader takes for one of the next
    process: the task would run on, or the worker would stay unused.
    Given a cell with 1 workers and 1 instances
    And the clock of the worker is 1000 s ahead
    When a job with the payload "ms=20000" is submitted and has begun
    And the job is cancelled, and the worker is replaced by one of kind "<kind>" <moment>
    Then the next process runs nothing of the job
    And every instance shows the job as "cancelled"
    And no lease that the next process was asked for exceeds 6 s
    And the next process runs another job
    And no task ran in two places

    Examples:
      | moment                   | kind |
      | before the first stop    | a    |
      | before the first stop    | b    |
      | after a stop was refused | a    |
      | after a stop was refused | b    |
      | after an answer was lost | a    |
      | after an answer was lost | b    |

  Scenario Outline: A start is planned again once another process of its worker answers
    Guards against a start with a new lease in a process for which it was not
    planned, such as the next one of a worker that had drained.
    Given a start that was <sent> to a worker without an answer
    When another process of the worker answers
    Then no further start is sent, and the run is <handling>

    Examples:
      | sent     | handling               |
      | sent     | stopped before it ends |
      | not sent | planned again          |

Feature: Plans respect limits and start whole gangs

  Scenario: No plan exceeds the capacity of a worker
    Guards against overcommitted workers, for generated fleets and jobs.
    Then no generated plan exceeds a worker or an upper limit

  Scenario: A gang starts all members or none
    Guards against gang members that run but wait for others and do no work.
    Given 2 workers with 4 cores each
    And a waiting gang of 9 members of 1 core
    When a plan is made
    Then nothing starts

  Scenario: Capacity is reserved for a gang that will fit soon
    Guards against a gang that never fits because small tasks use the capacity.
    Given 2 workers with 4 cores each
    And a run of 3 cores on each worker that ends in 1 s
    And a waiting gang of 8 members of 1 core
    And 4 waiting tasks of 1 core that take 30 s and are less urgent
    When a plan is made
    Then nothing starts

  Scenario: Short tasks backfill the capacity that is reserved for a gang
    Guards against cores that are idle while a gang waits.
    Given 2 workers with 4 cores each
    And a run of 3 cores on each worker that ends in 10 s
    And a waiting gang of 8 members of 1 core
    And 2 waiting tasks of 1 core that take 1 s and are less urgent
    When a plan is made
    Then 2 tasks start

  Scenario: A worker runs at most as many tasks of a step as the step allows
    Guards against plans that ignore the limit per worker of a step.
    Given 2 workers with 4 cores each
    And 8 waiting tasks of 1 core with at most 1 per worker
    When a plan is made
    Then 2 tasks start on different workers

  Scenario: A task goes to the rack of its data
    Guards against runs that take many times as long far from their data.
    Given 2 workers with 4 cores each
    And a waiting task whose data is in the rack of the second worker
    When a plan is made
    Then it starts on the second worker

  Scenario: Tasks above the fair rate of their workspace are planned last
    Guards against one workspace that delays all others.
    Given 1 workers with 4 cores each
    And 4 waiting tasks of 1 core above the fair rate
    And 4 waiting tasks of 1 core within the fair rate
    When a plan is made
    Then only tasks within the fair rate start

  Scenario: Advice is requested on workers with free capacity
    Guards against calls that always ask about the same hundred workers of a
    larger fleet.
    Given 130 workers with 4 cores each
    And the first 110 workers are full
    And a waiting task of a queue with advice
    When a plan is made
    Then advice is requested on every worker with free capacity

  Scenario: Advice is requested on more workers when the advised ones are full
    Guards against a task that waits for a few full workers while others are
    idle.
    Given 130 workers with 4 cores each
    And the first 110 workers are full
    And a waiting task that is advised only on full workers
    When a plan is made
    Then advice is requested on every worker with free capacity

  Scenario: A late step is planned after those that can still be on time
    Guards against an overload in which every job is late.
    Given 1 workers with 4 cores each
    And 4 waiting tasks of 1 core that are late already
    And 4 waiting tasks of 1 core that can be on time
    When a plan is made
    Then only tasks that can be on time start

  Scenario: A new leader knows which jobs are above the fair rate
    Guards against one workspace that gets more than its share after each
    election.
    Given 20 stored jobs of a workspace with a fair rate of 1 job a second
    When they are restored in any order
    Then the 5 that were accepted first are within the fair rate

  Scenario: A gang requests advice on all workers of a larger fleet at once
    Guards against gangs that get advice in one call after the other.
    Given 130 workers with 4 cores each
    And a waiting gang of a queue with advice
    When a plan is made and its advice calls go to 4 proxies
    Then 2 proxies are called about 130 workers in total

  Scenario: A waiting gang requests tickets where it has reserved capacity
    Guards against a gang that has tickets for other workers than those that it
    has reserved.
    Given 60 workers with 4 cores each
    And the first 50 workers are full
    And a waiting gang that is advised on all workers
    When a plan is made
    Then tickets are requested for every worker with free capacity

  Scenario: A ready step that waits for long is logged with its reason
    Guards against a job that waits without a trace of the cause.
    Given 2 workers with 4 cores each
    And a waiting gang of 9 members of 1 core
    When a plan is made every second for 10 s
    Then 2 lines say that the step "does not fit on the workers"

  Scenario: A step with a run is not logged as waiting
    Guards against lines about steps that progress.
    Given 2 workers with 4 cores each
    And a run of 3 cores on each worker that ends in 10 s
    When a plan is made every second for 10 s
    Then no step is logged as waiting

  Scenario: Gangs that fit nowhere keep no other gang from its tickets
    Guards against a gang that never starts on idle workers, since gangs that
    can never run have all reservations.
    Given 20 workers with 4 cores each
    And 8 waiting gangs that are larger than the fleet
    And a waiting gang that is advised on all workers
    When a plan is made
    Then tickets are requested for the gang that fits

  Scenario: Gangs that wait for busy workers keep no other gang from its tickets
    Guards against a gang that waits on idle workers for as long as other gangs
    wait for busy ones.
    Given 20 workers with 4 cores each
    And the first 8 workers are full
    And 8 waiting gangs of which each waits for one of these workers
    And a waiting gang that is advised on all workers
    When a plan is made
    Then tickets are requested for the gang that fits

  Scenario: Gangs that fit nowhere keep no other gang from further advice
    Guards against a gang that knows only full workers while others are idle.
    Given 20 workers with 4 cores each
    And the first 8 workers are full
    And 8 waiting gangs that are larger than the fleet
    And a waiting gang that is advised only on full workers
    When a plan is made
    Then tickets are requested for the gang that fits

  Scenario: Gangs that fit nowhere keep no other gang from a reservation
    Guards against a gang that never fits since small tasks use the capacity,
    while gangs that can never run have all reservations.
    Given 2 workers with 4 cores each
    And a run of 3 cores on each worker that ends in 1 s
    And 8 waiting gangs that are larger than the fleet
    And a waiting gang of 8 members of 1 core
    And 4 waiting tasks of 1 core that take 30 s and are less urgent
    When a plan is made
    Then nothing starts

  Scenario: A gang on more than 40 workers starts
    Guards against a gang that never has tickets for all of its workers at once.
    Given 60 workers with 4 cores each
    And a waiting gang of 60 members that is advised on all workers, 1 per worker
    When plans are made while 4 proxies answer, with tickets valid for 250 ms
    Then 60 tasks start on different workers

  Scenario: A gang on more workers than one call may ask about starts
    Guards against a gang that never has tickets for all of its workers at once.
    Given 130 workers with 4 cores each
    And a waiting gang of 130 members that is advised on all workers, 1 per worker
    When plans are made while 4 proxies answer, with tickets valid for 300 ms
    Then 130 tasks start on different workers

  Scenario: Instances that do not answer keep no step from its advice
    Guards against calls for advice that alternate between two silent instances
    while others are idle.
    Given 2 workers with 4 cores each
    And a waiting task of a queue with advice
    When its advice calls go to 2 silent proxies before 2 that answer
    Then 1 tasks start within 5 s

  Scenario: A task under which two workers have crashed runs alone
    Guards against tasks that are lost with a worker that another one crashes.
    Given 2 workers with 4 cores each
    And a run of 1 core on the first worker
    And a waiting task of 1 core under which 2 workers have crashed
    And 8 waiting tasks of 1 core that can be on time
    When a plan is made
    Then the crashed task starts alone on the second worker
    And 3 other tasks start

  Scenario: A task under which one worker has crashed shares a worker
    Guards against a crash that takes the capacity for many other tasks.
    Given 1 workers with 4 cores each
    And a waiting task of 1 core under which 1 workers have crashed
    And 3 waiting tasks of 1 core that can be on time
    When a plan is made
    Then 4 tasks start

  Scenario: Nothing starts beside a task that runs alone
    Guards against tasks that are lost with a worker that another one crashes.
    Given 1 workers with 4 cores each
    And a task under which 2 workers have crashed runs on the first worker
    And 3 waiting tasks of 1 core that can be on time
    When a plan is made
    Then nothing starts

  Scenario: A worker is kept for a task that runs alone
    Guards against a task that never starts because small tasks use every
    worker.
    Given 2 workers with 4 cores each
    And a run of 1 core on the first worker
    And a run of 1 cores on each worker that ends in 5 s
    And a waiting task of 1 core under which 2 workers have crashed
    And 8 waiting tasks of 1 core that can be on time
    When a plan is made
    Then 2 tasks start on the first worker only

  Scenario: A task that runs alone shares a worker if none is ever empty
    Guards against a task that waits for the end of runs that do not end.
    Given 2 workers with 4 cores each
    And 2 long-running runs on the first worker
    And 1 long-running runs on the second worker
    And a waiting task of 1 core under which 2 workers have crashed
    And 8 waiting tasks of 1 core that can be on time
    When a plan is made
    Then the crashed task starts alone on the second worker
    And 2 other tasks start

  Scenario Outline: A task that has waited to run alone shares a worker
    Guards against suspected tasks that wait while most capacity is free (LOST).
    Given <workers> workers with 4 cores each
    And a run of 1 cores on each worker that ends in 5 s
    And <tasks> waiting tasks of 1 core under which 2 workers have crashed
    When a plan is made
    Then nothing starts
    When a plan is made 2 s later
    Then <tasks> tasks start

    Examples:
      | workers | tasks |
      | 1       | 1     |
      | 4       | 9     |

  Scenario: Tasks that run alone leave half of the workers to others
    Guards against many suspected tasks that take all workers.
    Given 4 workers with 4 cores each
    And 5 waiting tasks of 1 core under which 2 workers have crashed
    And 20 waiting tasks of 1 core that can be on time
    When a plan is made
    Then 2 crashed tasks start alone and 8 others start

  Scenario: A gang under which workers have crashed does not run alone
    Guards against a gang that needs more empty workers than there are.
    Given 2 workers with 4 cores each
    And a waiting gang of 8 members of 1 core
    And 2 workers have crashed under the gang
    When a plan is made
    Then 8 tasks start

  Scenario Outline: Nothing starts on a worker that exceeds its capacity
    Guards against starts on a worker whose capacity has shrunk, by tasks that
    need nothing of the exceeded resource (LIMIT).
    Given 1 workers with 4 cores each
    And a run of 3 cores on each worker that ends in 5 s
    And the capacity of each worker shrinks to 2 cores
    And <count> waiting <kind> without cores
    When a plan is made
    Then nothing starts

    Examples:
      | count | kind             |
      | 2     | tasks            |
      | 2     | members of gangs |
      | 2     | idle-only tasks  |

  Scenario: A gang reserves a worker that exceeds its capacity for now
    Guards against a gang that never starts on a worker that has shrunk.
    Given 1 workers with 4 cores each
    And a run of 3 cores on each worker that ends in 1 s
    And the capacity of each worker shrinks to 2 cores
    And a waiting gang of 2 members of 1 core
    And 2 waiting tasks of 1 core that take 30 s and are less urgent
    When a plan is made
    Then nothing starts
    When the runs have ended and a plan is made
    Then 2 tasks start

  Scenario: A reservation on an idle fleet does not hold a step back for long
    Guards against a job that waits although most of the capacity is free, while
    a gang waits for a few busy workers.
    Given 10 workers with 4 cores each
    And the first 2 workers are full
    And a waiting gang of 40 members of 1 core
    And 4 waiting tasks of 1 core that take 30 s and are less urgent
    When plans are made for 2 s
    Then 1 tasks start

  Scenario: A reservation on an idle fleet does not hold a gang back for long
    Guards against a gang that waits although most of the capacity is free, while
    a larger one waits for a few busy workers.
    Given 10 workers with 4 cores each
    And the first 2 workers are full
    And a waiting gang of 40 members of 1 core
    And a waiting gang of 8 members of 1 core that takes 30 s
    When plans are made for 2 s
    Then 8 tasks start

  Scenario: A reservation on a busy fleet does not hold a task that lasts back
    Guards against a long-running task without a run beside free capacity, while
    gangs wait for workers that are more than half in use (LOST, review case 13).
    Given 4 workers with 4 cores each
    And a run of 3 cores on each worker that ends in 12 s
    And a waiting gang of 4 members of 4 core
    And 3 waiting long-running tasks of 1 core that take 30 s
    When plans are made for 1 s
    Then nothing starts
    When plans are made for 2 s
    Then 3 tasks start

  Scenario: An unexpected error in planning a step costs only that step
    Guards against a stored job that ends each leadership, as every plan fails.
    Given 2 workers with 4 cores each
    And 2 waiting tasks of 1 core that can be on time
    And a waiting step whose planning fails
    When a plan is made
    Then 2 tasks start

  Scenario: Quick calls for advice do not hold a slow one back for long
    Guards against a step that gets no advice for as long as others need quick
    calls.
    Given 100 workers with 4 cores each
    And a waiting task of a queue with advice
    When 2 other steps renew their tickets all the time through one proxy
    Then the task gets its advice on 100 workers within 2 s

  Scenario: A task that runs alone requests a ticket for its worker
    Guards against an isolated task that never gets a ticket, or loses its
    worker to other tasks before it has one.
    Given 2 workers with 4 cores each
    And a run of 1 core on the first worker
    And a crashed task that is advised on all workers
    And 8 waiting tasks of 1 core that can be on time
    When a plan is made
    Then a ticket is requested for the second worker only
    And 3 tasks start on the first worker only
    When the ticket has arrived and a plan is made
    Then the crashed task starts alone on the second worker

  Scenario Outline: A workspace that uses little of its limit runs a large task
    Guards against a task that waits on an idle fleet for ever, or for as long
    as small tasks of its workspace run (LOST).
    Given 4 workers with 8 cores each
    And 3 waiting tasks of 1 core that can be on time
    And each of them needs <need> cores
    And <used> of the <limit> cores that the workspace may use are in use
    When a plan is made within the limit
    Then <started> tasks start

    Examples:
      | need | used | limit | started |
      | 8    | 0    | 6     | 1       |
      | 6    | 4    | 9     | 1       |
      | 6    | 5    | 10    | 0       |
      | 6    | 0    | 18    | 3       |
      | 6    | 0    | 12    | 2       |
      | 6    | 0    | 11    | 1       |

  Scenario Outline: A gang may exceed the limit of its workspace by one member
    Guards against a gang that never starts, and against one that takes more
    than the limit and one task.
    Given 4 workers with 8 cores each
    And a waiting gang of 4 members of 4 core
    And <used> of the <limit> cores that the workspace may use are in use
    When a plan is made within the limit
    Then <started> tasks start

    Examples:
      | used | limit | started |
      | 0    | 16    | 4       |
      | 0    | 12    | 4       |
      | 0    | 11    | 0       |
      | 6    | 17    | 0       |
      | 6    | 18    | 4       |

  Scenario: A step that runs does not exceed the limit of its workspace
    Guards against a workspace that exceeds its limit again and again.
    Given 1 workers with 8 cores each
    And a run of 1 core on the first worker
    And another task of that step waits
    And 1 of the 3 cores that the workspace may use are in use
    When a plan is made within the limit
    Then nothing starts

  Scenario: A quarantined worker with a long-running task is probed
    Guards against a worker that is quarantined for as long as a long-running
    task runs there (LOST).
    Given 1 workers with 4 cores each
    And 1 long-running runs on the first worker
    And runs of 3 jobs have failed on the first worker
    And 1 waiting tasks of 1 core that can be on time
    When a plan is made
    Then nothing starts
    When a plan is made 3 s later
    Then 1 tasks start

  Scenario: A long-running task does not run alone for good
    Guards against a worker that is closed to other tasks for as long as a
    long-running task runs there (LOST).
    Given 1 workers with 4 cores each
    And 1 long-running runs on the first worker
    And 2 workers have crashed under that task before
    And 3 waiting tasks of 1 core that can be on time
    When a plan is made
    Then nothing starts
    When a plan is made 4 s later
    Then 3 tasks start

  Scenario: Long-running tasks do not wait for others that run alone
    Guards against a long-running task that is never started again, since
    others run alone on half of the workers (LOST).
    Given 2 workers with 4 cores each
    And 1 long-running runs on the first worker
    And 2 workers have crashed under that task before
    And a waiting long-running task under which 2 workers have crashed
    When a plan is made
    Then nothing starts
    When a plan is made 4 s later
    Then the crashed task starts alone on the second worker

  Scenario: A task that runs alone shares a worker if none is empty soon
    Guards against a task that waits for the end of long runs (LOST).
    Given 2 workers with 4 cores each
    And a run of 1 core on the first worker
    And a run of 1 cores on each worker that ends in 60 s
    And a waiting task of 1 core under which 2 workers have crashed
    And 8 waiting tasks of 1 core that can be on time
    When a plan is made
    Then the crashed task starts alone on the second worker
    And 2 other tasks start

  Scenario: A task that runs alone starts on an empty worker
    Guards against a task that waits beside an empty worker, as a run that
    takes longer than expected is taken to end at once.
    Given 2 workers with 4 cores each
    And a run of 1 core on the first worker
    And that run is at 50 percent for longer than it took to get there
    And a waiting task of 1 core under which 2 workers have crashed
    When a plan is made
    Then the crashed task starts alone on the second worker

  Scenario: Half of the workers are used though all are quarantined
    Guards against tasks that wait beside free workers, as tasks of other jobs
    have failed on all of them by their own fault (LOST).
    Given 4 workers with 4 cores each
    And runs of 6 jobs have failed on each worker
    And 20 waiting tasks of 1 core that can be on time
    When a plan is made
    Then nothing starts
    When a plan is made 3 s later
    Then 8 tasks start

  Scenario: A quarantined worker is not used beside sound ones
    Guards against tasks on a worker that fails all that it starts.
    Given 2 workers with 4 cores each
    And runs of 6 jobs have failed on the first worker
    And 8 waiting tasks of 1 core that can be on time
    When a plan is made 3 s later
    Then 4 tasks start

  Scenario: Tasks that run alone leave workers of each label to others
    Guards against a task that waits for its label, since tasks without one run
    alone on all workers that have it (LOST).
    Given 6 workers with 4 cores each
    And only the first 2 workers have the label "special"
    And 3 waiting tasks of 1 core under which 2 workers have crashed
    And 4 waiting tasks of 1 core with the label "special"
    When a plan is made
    Then 3 crashed tasks start alone and 4 others start

  Scenario: A quarantined worker is used for a task that is advised on no other
    Guards against a task that waits for the only workers that it may use, as
    tasks of other jobs have failed there by their own fault (LOST).
    Given 4 workers with 4 cores each
    And runs of 6 jobs have failed on the first worker
    And a waiting task that is advised on the first worker only
    When a plan is made
    Then nothing starts
    When a plan is made 3 s later
    Then 1 tasks start

  Scenario: A call for advice that waited asks about the workers of now
    Guards against a gang that never starts, since its calls for advice wait
    for long and ask about workers that are gone by then (LOST).
    Given 4 workers with 4 cores each
    And a waiting gang of a queue with advice
    When its call for advice waits while 3 workers leave and 5 join
    Then the gang has tickets for all 6 workers

  Scenario: A call for advice of a gang covers the workers advised before
    Guards against a gang that never starts, since its tickets on the workers
    of earlier calls expire while it asks about a few others (LOST).
    Given 6 workers with 4 cores each
    And a gang that needs advice on one more worker
    When its call for advice waits while 0 workers leave and 0 join
    Then the gang has tickets for all 6 workers

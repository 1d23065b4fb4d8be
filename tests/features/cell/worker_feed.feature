Feature: Registrations of workers reach the leader in time

  Scenario: Full pages of registrations are read without a pause
    Guards against a task that starts on a worker which has been leaving for
    seconds: 3,000 workers renew their registrations faster than one page in each
    pause, so that the leader falls behind (DRAIN, sweep at 300 instances).
    Given a feed of 20 pages with 500 registrations each
    When the leader follows it for 2 s
    Then it has read all pages

  Scenario: Small pages are read after a pause
    Guards against a call to the store for each registration that changes.
    Given a feed of 20 pages with 3 registrations each
    When the leader follows it for 1 s
    Then it has read at most 4 pages

  Scenario: A renewed registration that did not change is not decoded again
    Guards against a processor of the leader that is busy with registrations
    which only say that a worker is alive.
    Given a feed of 20 pages with 500 registrations each
    When the leader follows it for 2 s
    Then each registration was decoded once
    And a registration that is removed and added again is known

  Scenario: A worker that was given up is used again when it renews
    Guards against a worker that is idle for up to 8 s after a cut, as its
    registration is the same as before.
    Given a feed of 20 pages with 500 registrations each
    When the leader, which has given up "w1", follows it for 2 s
    Then each renewal of "w1" was applied

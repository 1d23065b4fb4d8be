Feature: Random entries of other writers end no leadership

  Scenario Outline: A cell goes on beside random entries (<seed>)
    Guards against an entry of any table that ends each leadership, one that keeps
    the next leader from recovering, and connections without a bound.
    Given a cell with 2 workers and 2 instances
    And jobs that left rows of each kind
    When 300 random entries with the seed <seed> are written
    Then a job completes under the same leader
    And the processes have opened at most 60 connections
    When another instance becomes the leader
    Then a further job completes
    And one instance was elected after the first leader

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

/** Measured figures by name; the unit is in the name. */
export type Figures = Readonly<Record<string, number>>

export interface Bound {
  readonly min?: number
  readonly max?: number
}

export interface BenchOptions {
  /** First seed of the run. */
  readonly seed: number
  /** Number of seeds, one scenario each. */
  readonly seeds: number
}

export interface BenchResult {
  readonly figures: Figures
  /** The same scenarios under simpler policies, by name. */
  readonly baselines: Readonly<Record<string, Figures>>
  /** What only explains the figures, such as tables by class; never bounded. */
  readonly notes?: Readonly<Record<string, unknown>>
}

/** One named bench: real decision code around fakes, with bounds from the stated target. */
export interface Bench {
  readonly name: string
  readonly about: string
  readonly seeds: number
  /** Seeds of the bounded run in CI; 0 keeps the bench out of CI. */
  readonly ciSeeds: number
  /** Bounds by figure; each derives from a stated target and never from a measured figure. */
  readonly bounds: Readonly<Record<string, Bound>>
  /** Bounds that each baseline must miss, so that the check is seen to bite. */
  readonly baselinesMustMiss?: Readonly<Record<string, readonly string[]>>
  run (options: BenchOptions): Promise<BenchResult>
}

import { bytes, millis } from '@papayahill/common'
import type { Clock, DomainId, EndpointId, EventLog, Millis } from '@papayahill/common'
import type { DomainRule, Endpoint, EndpointDirectory, StageNode } from '@papayahill/directory'
import { Result } from 'true-myth'
import { chooseEndpoint, choosePreferredDomain, crossDomainDelay } from './BacklogTracker.js'
import type { BacklogTracker } from './BacklogTracker.js'
import { bytesByDomain } from './bytesByDomain.js'
import { callCharactersOf } from './callCharacters.js'
import { MAX_PIECE_LOSSES, MAX_PIECE_RETRIES, RESULT_TTL_SHARE } from './constants.js'
import type { GroupLookup } from './endpointGroups.js'
import { BATCHING_EVENTS } from './events.js'
import { followingStageTime, fullCallTime, shortCallTime } from './stageTimes.js'
import type { StageOrderRouter } from './StageOrderRouter.js'
import type { GroupId, Piece, PieceFault, PieceOutcome, ProfileOf, StageOrder, StageResult } from './types.js'

/** Dependencies shared by all stage graph runs of an instance. */
export interface StageContext {
  readonly clock: Clock
  readonly log: EventLog
  readonly directory: EndpointDirectory
  readonly backlogs: BacklogTracker
  readonly router: StageOrderRouter
  readonly groups: GroupLookup
  readonly profileOf: ProfileOf
  /** Takes `count` retries from a service's retry budget; false where it has too few left. */
  readonly takeRetry: (service: StageNode['service'], count: number) => boolean
}

export interface StageWork {
  readonly request: string
  readonly stages: readonly StageNode[]
  /** Number of pieces of each stage; 0 skips the stage. */
  readonly counts: readonly number[]
  readonly key: string | undefined
  readonly priority: number
  /** Monotonic time by which the last result should be ready. */
  readonly due: Millis
  readonly deadline: Millis
  /** Time that the answer takes after the last result. */
  readonly answerTime: Millis
  /** Domain of the engine that will read the last results. */
  readonly engineDomain: DomainId | undefined
  /** Failure domains whose endpoints may run the stages. */
  readonly isAllowedIn: DomainRule
}

/** Why a stage graph failed, and at which stage. */
export interface StageFailure {
  readonly fault: PieceFault
  readonly stage: number
}

/** Pieces of a stage without a result. */
interface MissingPieces {
  readonly missing: readonly number[]
  /** Results that each of them reads. */
  readonly inputs: readonly StageResult[]
  /** Calls that were lost with one of them. */
  readonly losses: number
}

/**
 * Runs one request's stages, from the first pieces to the results that its final call reads.
 *
 * @example
 * const results = await new StageGraphRun(context, work).run()
 */
export class StageGraphRun {
  readonly #context: StageContext
  readonly #work: StageWork
  readonly #stageResults = new Map<number, Promise<Result<readonly StageResult[], StageFailure>>>()
  readonly #heldResults = new Set<StageResult>()
  readonly #heldByStage = new Map<number, StageResult[]>()
  /** Stages that no longer need their inputs. */
  readonly #readStages = new Set<number>()
  readonly #readPieceCounts = new Map<number, number>()
  /** Orders that have not ended, by group. */
  readonly #openOrders = new Map<GroupId, number>()
  #chosenDomain: DomainId | undefined
  #isCancelled = false
  readonly #cancelled: Promise<Result<readonly StageResult[], StageFailure>>
  #endCancelled: () => void = () => {}

  constructor (context: StageContext, work: StageWork) {
    this.#context = context
    this.#work = work
    this.#cancelled = new Promise((resolve) => {
      this.#endCancelled = () => resolve(Result.err({ fault: 'late', stage: this.#firstUnfinishedStage }))
    })
  }

  /**
   * Runs the graph; resolves with the results of the stages that no other stage follows. A cancelled graph ends at once,
   * also while an endpoint is at work on its pieces, whose results are freed when they come.
   */
  async run (): Promise<Result<readonly StageResult[], StageFailure>> {
    return await Promise.race([this.#runStages(), this.#cancelled])
  }

  async #runStages (): Promise<Result<readonly StageResult[], StageFailure>> {
    const { stages } = this.#work
    const followed = new Set(stages.flatMap((stage) => stage.after))
    const last = stages.filter((stage) => !followed.has(stage.index))
    const ended = await Promise.all(last.map((stage) => this.#resultsOf(stage)))
    const failed = ended.find((results) => results.isErr)
    if (failed !== undefined) {
      this.#drop()
      return failed
    }
    const results = ended.flatMap((result) => result.isOk ? result.value : [])
    this.#freeAllBut(results)
    return Result.ok(results)
  }

  /** Drops queued pieces and frees all results of a request that was abandoned; the run ends at once. */
  cancel (): void {
    this.#drop()
    this.#endCancelled()
  }

  #drop (): void {
    if (this.#isCancelled) return
    this.#isCancelled = true
    for (const group of this.#openOrders.keys()) this.#context.router.cancel(group, this.#work.request)
    this.#freeAllBut([])
  }

  /** Index of the first stage that has not all of its results. */
  get #firstUnfinishedStage (): number {
    const { stages, counts } = this.#work
    return stages.find(({ index }) => (this.#heldByStage.get(index)?.length ?? 0) < (counts[index] ?? 0))?.index ?? 0
  }

  /** Frees the last results, once the engine has read them. */
  release (): void {
    this.#freeAllBut([])
  }

  #freeAllBut (results: readonly StageResult[]): void {
    const kept = new Set(results)
    this.#free([...this.#heldResults].filter((result) => !kept.has(result)))
  }

  #free (results: readonly StageResult[]): void {
    const byEndpoint = new Map<EndpointId, string[]>()
    for (const result of results) {
      if (!this.#heldResults.delete(result)) continue
      const handles = byEndpoint.get(result.endpoint) ?? []
      byEndpoint.set(result.endpoint, handles)
      handles.push(result.handle)
    }
    for (const [endpoint, handles] of byEndpoint) this.#context.router.free(endpoint, handles)
  }

  #resultsOf (stage: StageNode): Promise<Result<readonly StageResult[], StageFailure>> {
    const known = this.#stageResults.get(stage.index)
    if (known !== undefined) return known
    const results = this.#runStage(stage)
    this.#stageResults.set(stage.index, results)
    return results
  }

  async #runStage (stage: StageNode): Promise<Result<readonly StageResult[], StageFailure>> {
    const count = this.#work.counts[stage.index] ?? 0
    if (count === 0) return Result.ok([])
    const inputs = await this.#inputsOf(stage)
    if (inputs.isErr) return inputs
    const results = await this.#runPieces(stage, count, inputs.value)
    this.#markInputsRead(stage)
    return results
  }

  async #inputsOf (stage: StageNode): Promise<Result<readonly StageResult[], StageFailure>> {
    const before = await Promise.all(stage.after.map((index) => this.#resultsOf(this.#work.stages[index]!)))
    return before.find((results) => results.isErr) ?? Result.ok(before.flatMap((results) => results.isOk ? results.value : []))
  }

  /** Counts the pieces of an order whose inputs were read. */
  #countReadPieces (stage: StageNode, pieces: number): void {
    const read = (this.#readPieceCounts.get(stage.index) ?? 0) + pieces
    this.#readPieceCounts.set(stage.index, read)
    if (read >= (this.#work.counts[stage.index] ?? 0)) this.#markInputsRead(stage)
  }

  /** All pieces of a stage have read their inputs. */
  #markInputsRead (stage: StageNode): void {
    this.#readStages.add(stage.index)
    this.#freeReadInputs(stage)
  }

  /** Frees the inputs of a stage that no other stage still has to read. */
  #freeReadInputs (reader: StageNode): void {
    const { stages } = this.#work
    for (const index of reader.after) {
      const readers = stages.filter((stage) => stage.after.includes(index))
      const results = this.#heldByStage.get(index) ?? []
      if (readers.every((other) => this.#readStages.has(other.index))) this.#free(results)
    }
  }

  async #runPieces (
    stage: StageNode, count: number, firstInputs: readonly StageResult[]
  ): Promise<Result<readonly StageResult[], StageFailure>> {
    const results: Array<StageResult | undefined> = Array.from({ length: count })
    const exclude = new Set<EndpointId>()
    let losses = 0
    let inputs = firstInputs
    for (let round = 0; round <= MAX_PIECE_RETRIES; round++) {
      const missing = [...results.keys()].filter((index) => results[index] === undefined)
      const fault = await this.#runMissingPieces(stage, { missing, inputs, losses }, results, exclude)
      if (fault === undefined) return Result.ok(results.filter((result) => result !== undefined))
      const left = results.filter((result) => result === undefined).length
      if (fault === 'lost') losses++
      const needsInputs = fault === 'gone' || inputs.some((input) => !this.#heldResults.has(input))
      if (losses >= MAX_PIECE_LOSSES || !this.#canRetry(stage, fault, left, needsInputs)) return Result.err(this.#failure(stage, fault))
      const fields = { request: this.#work.request, stage: stage.index, pieces: left, fault }
      this.#context.log.emit(BATCHING_EVENTS.piecesAgain, fields)
      if (!needsInputs) continue
      const recomputed = await this.#recomputeInputs(stage, count - left)
      if (recomputed.isErr) return recomputed
      inputs = recomputed.value
    }
    return Result.err(this.#failure(stage, 'failed'))
  }

  /** Runs the preceding stages again, since inputs were gone, or freed as read, before all pieces had their results. */
  async #recomputeInputs (stage: StageNode, finishedPieces: number): Promise<Result<readonly StageResult[], StageFailure>> {
    const ancestors = this.#ancestors(stage)
    for (const index of ancestors) {
      this.#free(this.#heldByStage.get(index) ?? [])
      this.#heldByStage.delete(index)
      this.#stageResults.delete(index)
      this.#readStages.delete(index)
      this.#readPieceCounts.delete(index)
    }
    this.#readStages.delete(stage.index)
    this.#readPieceCounts.set(stage.index, finishedPieces)
    this.#context.log.emit(BATCHING_EVENTS.stagesAgain, { request: this.#work.request, stage: stage.index, before: ancestors.size })
    return await this.#inputsOf(stage)
  }

  /** All stages whose results a stage needs, directly or indirectly. */
  #ancestors (stage: StageNode): ReadonlySet<number> {
    const found = new Set(stage.after)
    // The loop goes over what it adds, too, and over each stage once.
    for (const index of found) for (const before of this.#work.stages[index]!.after) found.add(before)
    return found
  }

  /** Takes what a retry needs from the retry budgets, `needsInputs` if the preceding stages run again as well. */
  #canRetry (stage: StageNode, fault: PieceFault, pieces: number, needsInputs: boolean): boolean {
    if (this.#isCancelled || fault === 'late') return false
    if (!needsInputs) return (fault !== 'failed' && fault !== 'lost') || this.#context.takeRetry(stage.service, pieces)
    const before = [...this.#ancestors(stage)].map((index) => this.#work.stages[index]!)
    return [stage, ...before].every((each) =>
      this.#context.takeRetry(each.service, each === stage ? pieces : this.#work.counts[each.index] ?? 0))
  }

  #failure (stage: StageNode, fault: PieceFault): StageFailure {
    return { fault, stage: stage.index }
  }

  /** Orders the missing pieces; returns the last fault among them, or undefined where all succeeded. */
  async #runMissingPieces (
    stage: StageNode, { missing, inputs, losses }: MissingPieces, results: Array<StageResult | undefined>, exclude: Set<EndpointId>
  ): Promise<PieceFault | undefined> {
    if (this.#isCancelled) return 'unplaced'
    const shared = this.#sharedFields(stage, inputs, losses)
    const pieces = missing.map((index): Piece => ({ ...shared, index }))
    const order = this.#order(stage, pieces, inputs, exclude)
    if (order === undefined) return 'unplaced'
    const onInputsRead = (): void => this.#countReadPieces(stage, missing.length)
    this.#countOpenOrders(order.group, 1)
    const outcomes = await this.#context.router.run(order, { onInputsRead })
    this.#countOpenOrders(order.group, -1)
    return this.#recordOutcomes(stage, missing, outcomes, results, exclude)
  }

  #countOpenOrders (group: GroupId, change: number): void {
    const count = (this.#openOrders.get(group) ?? 0) + change
    if (count === 0) this.#openOrders.delete(group)
    else this.#openOrders.set(group, count)
  }

  /** The order for the group of the best endpoint; undefined where no endpoint can run the pieces. */
  #order (
    stage: StageNode, pieces: readonly Piece[], inputs: readonly StageResult[], exclude: ReadonlySet<EndpointId>
  ): StageOrder | undefined {
    const { backlogs, directory, groups, profileOf } = this.#context
    if (profileOf(stage.service) === undefined) return undefined
    const all = this.#endpointsOf(stage)
    const untried = all.filter(({ id }) => !exclude.has(id))
    const query = {
      endpoints: untried.length > 0 ? untried : all,
      inputBytes: bytesByDomain(directory, inputs),
      outputBytes: stage.resultBytes * this.#readerCountOf(stage),
      preferredDomain: this.#preferredDomain(),
      request: this.#work.request
    }
    const best = chooseEndpoint(backlogs, query)
    const group = best === undefined ? undefined : groups.groupOf(best.id)
    if (group === undefined) return undefined
    const groupMembers = query.endpoints.filter(({ id }) => groups.groupOf(id) === group)
    const places = groupMembers.map(({ id, domain }) => ({ endpoint: id, cost: crossDomainDelay(domain, query) }))
    return { group, places, pieces }
  }

  #endpointsOf (stage: StageNode): readonly Endpoint[] {
    return this.#context.directory.healthy(stage.service).filter(({ domain }) => this.#work.isAllowedIn(domain))
  }

  /** Number of pieces that read each of a stage's results; at least 1, since the engine reads the last ones. */
  #readerCountOf (stage: StageNode): number {
    const { stages, counts } = this.#work
    const readers = stages.filter((other) => other.after.includes(stage.index)).map((other) => counts[other.index] ?? 0)
    return Math.max(1, readers.reduce((sum, count) => sum + count, 0))
  }

  /** The failure domain in which the whole chain should run; chosen once per request. */
  #preferredDomain (): DomainId | undefined {
    const { backlogs } = this.#context
    const { stages, counts, engineDomain } = this.#work
    const used = stages.filter((stage) => (counts[stage.index] ?? 0) > 0)
    const last = used.filter((stage) => !used.some((other) => other.after.includes(stage.index)))
    const lastBytes = last.reduce((sum, stage) => sum + (counts[stage.index] ?? 0) * stage.resultBytes, 0)
    this.#chosenDomain ??= choosePreferredDomain(backlogs, used.map((stage) => this.#endpointsOf(stage)), engineDomain, lastBytes)
    return this.#chosenDomain
  }

  #recordOutcomes (
    stage: StageNode, missing: readonly number[], outcomes: readonly PieceOutcome[],
    results: Array<StageResult | undefined>, exclude: Set<EndpointId>
  ): PieceFault | undefined {
    let fault: PieceFault | undefined
    const { clock, profileOf } = this.#context
    const expiresAt = millis(clock.now() + RESULT_TTL_SHARE * (profileOf(stage.service)?.resultTtl ?? 0))
    const held = this.#heldByStage.get(stage.index) ?? []
    this.#heldByStage.set(stage.index, held)
    missing.forEach((index, at) => {
      const outcome = outcomes[at] ?? { fault: 'failed', endpoint: undefined }
      if ('fault' in outcome) {
        fault = outcome.fault
        if (outcome.endpoint !== undefined) exclude.add(outcome.endpoint)
        return
      }
      const { handle, endpoint } = outcome
      const result: StageResult = { handle, endpoint, resultBytes: stage.resultBytes, expiresAt }
      results[index] = result
      this.#heldResults.add(result)
      held.push(result)
    })
    if (this.#isCancelled) this.#freeAllBut([])
    return fault
  }

  /** What all pieces of a stage have in common; one list of inputs for each piece would take pieces times inputs of memory. */
  #sharedFields (stage: StageNode, inputs: readonly StageResult[], losses: number): Omit<Piece, 'index'> {
    const { request, key, priority, due, deadline, answerTime, stages } = this.#work
    const { profileOf } = this.#context
    const stagesAfter = followingStageTime(stages, stage, profileOf, shortCallTime)
    const listed = { request, key: stage.after.length === 0 ? key : undefined, inputs: inputs.map((input) => input.handle) }
    return {
      ...listed,
      callCharacters: callCharactersOf(listed),
      stage: stage.index,
      losses,
      inputBytes: bytes(inputs.reduce((sum, input) => sum + input.resultBytes, 0)),
      resultBytes: stage.resultBytes,
      due: millis(due - followingStageTime(stages, stage, profileOf, fullCallTime)),
      deadline: millis(Math.min(
        deadline - stagesAfter, ...inputs.map((input) => input.expiresAt)
      )),
      timeAfter: millis(stagesAfter + answerTime),
      priority
    }
  }
}

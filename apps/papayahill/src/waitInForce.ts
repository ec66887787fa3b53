import { isJsonObject, MILLIS_PER_SECOND } from '@papayahill/common'
import type { Json } from '@papayahill/common'
import { WAIT_POLL } from './constants.js'
import { EXIT_CODES } from './exitCodes.js'
import type { ExitCode } from './exitCodes.js'
import type { OperatorClient } from './OperatorClient.js'
import type { Cli } from './types.js'

export interface WaitArguments {
  readonly wait: boolean
  readonly waitLimit: number
}

interface StatusPart {
  readonly inForce: ReadonlyArray<{ readonly instance: string, readonly version: number }>
}

const instancesBehind = (status: StatusPart, version: number): readonly string[] =>
  status.inForce.filter((each) => each.version < version).map((each) => each.instance)

const versionOf = (accepted: Json): number | undefined =>
  isJsonObject(accepted) && accepted.isRecorded === true && typeof accepted.version === 'number' ? accepted.version : undefined

/** Polls until every instance of the roster has the version in force, or the limit is over; returns the instances still behind. */
const waitFor = async (client: OperatorClient, cli: Cli, version: number, limitSeconds: number): Promise<readonly string[]> => {
  const until = cli.clock.now() + limitSeconds * MILLIS_PER_SECOND
  for (;;) {
    const status = await client.request('GET', '/v1/status') as unknown as StatusPart
    const lagging = instancesBehind(status, version)
    const isDone = status.inForce.length > 0 && lagging.length === 0
    if (isDone || cli.clock.now() >= until) return lagging
    await cli.clock.sleep(WAIT_POLL)
  }
}

/**
 * Reports that a change was accepted and, with `--wait`, whether it is in force on all instances.
 *
 * @example
 * return await reportAccepted(await client.request('POST', path), args, client, cli)
 */
export const reportAccepted = async (
  accepted: Json, args: WaitArguments, client: OperatorClient, cli: Cli
): Promise<ExitCode> => {
  const version = versionOf(accepted)
  if (version === undefined) {
    cli.printResult(accepted, () => ['in force, not yet recorded: the store is unreachable; it is recorded when the store answers'])
    return EXIT_CODES.done
  }
  if (!args.wait) {
    cli.printResult(accepted, () => [`accepted as version ${version}`])
    return EXIT_CODES.done
  }
  const lagging = await waitFor(client, cli, version, args.waitLimit)
  if (lagging.length === 0) {
    cli.printResult({ version, isRecorded: true, isInForce: true }, () => [`version ${version} is in force on all instances`])
    return EXIT_CODES.done
  }
  cli.printResult({ version, isRecorded: true, isInForce: false, behind: lagging }, () =>
    [`accepted as version ${version}; not yet in force on ${lagging.join(', ')}`])
  return EXIT_CODES.notInForce
}

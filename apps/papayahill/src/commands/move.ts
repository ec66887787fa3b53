import { CliFailure } from '../CliFailure.js'
import { EXIT_CODES } from '../exitCodes.js'
import type { ExitCode } from '../exitCodes.js'
import { withWait } from '../options.js'
import { parseTime } from '../parseTime.js'
import { formatTable } from '../table.js'
import { defineCommand } from '../types.js'
import type { Cli } from '../types.js'
import { reportAccepted } from '../waitInForce.js'
import type { WaitArguments } from '../waitInForce.js'

interface MoveArguments extends WaitArguments {
  readonly service: string | undefined
  readonly to: string | undefined
  readonly by: string | undefined
}

interface MoveLine {
  readonly service: string
  readonly from: string
  readonly to: string
  readonly by: number
  readonly state: string
  readonly share: number
  readonly because: string
}

const PERCENT = 100

const requireOption = (value: string | undefined, option: string): string => {
  if (value !== undefined) return value
  throw new CliFailure(`give ${option}; see papayahill move --help`, EXIT_CODES.malformed)
}

const start = async (args: MoveArguments, cli: Cli): Promise<ExitCode> => {
  const client = cli.client()
  const by = parseTime(requireOption(args.by, '--by'), cli.clock.wall())
  if (by === undefined) throw new CliFailure('--by must be a duration such as 30min or a time such as 2027-01-04T09:00:00Z', EXIT_CODES.malformed)
  const body = { service: requireOption(args.service, '--service'), to: requireOption(args.to, '--to'), by }
  return await reportAccepted(await client.request('POST', '/v1/moves', body), args, client, cli)
}

const status = async (_args: MoveArguments, cli: Cli): Promise<ExitCode> => {
  const moves = await cli.client().request('GET', '/v1/moves')
  const lines = moves as unknown as readonly MoveLine[]
  cli.printResult(moves, () => lines.length === 0
    ? ['no moves']
    : formatTable(['service', 'from', 'to', 'state', 'share %', 'by', 'because'], lines.map((move) =>
      [move.service, move.from, move.to, move.state, Math.round(move.share * PERCENT), new Date(move.by).toISOString(), move.because])))
  return EXIT_CODES.done
}

const stop = async (args: MoveArguments, cli: Cli): Promise<ExitCode> => {
  const client = cli.client()
  const path = `/v1/moves/${encodeURIComponent(requireOption(args.service, '--service'))}`
  return await reportAccepted(await client.request('DELETE', path), args, client, cli)
}

const ACTIONS = { start, status, stop } as const

/** Starts, shows and stops moves: progressive rollouts of a new version of a service by a deadline. */
export const move = defineCommand({
  command: 'move <action>',
  describe: 'Move a service\'s traffic to a new version by a deadline',
  examples: [
    ['$0 move start --service assistant --to v2 --by 30min', 'Move the traffic within half an hour'],
    ['$0 move status', 'Show shares, and whether moves are done or rolled back']
  ],
  builder: (argv) => withWait(argv)
    .positional('action', { choices: ['start', 'status', 'stop'] as const, demandOption: true, describe: 'start, status or stop' })
    .option('service', { type: 'string', describe: 'The service' })
    .option('to', { type: 'string', describe: 'The new version' })
    .option('by', { type: 'string', describe: 'When the move must be complete: a duration from now, or a time' }),
  run: async (args, cli) => await ACTIONS[args.action](args, cli)
})

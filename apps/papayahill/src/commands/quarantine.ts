import { CliFailure } from '../CliFailure.js'
import { EXIT_CODES } from '../exitCodes.js'
import type { ExitCode } from '../exitCodes.js'
import { formatTable } from '../table.js'
import { defineCommand } from '../types.js'
import type { Cli } from '../types.js'

interface QuarantineArguments {
  readonly action: 'list' | 'lift' | 'pin'
  readonly service: string | undefined
  readonly ofVersion: string | undefined
  readonly parts: readonly string[] | undefined
}

interface QuarantineLine {
  readonly scope: string
  readonly parts: readonly string[]
  readonly crashes: number
  readonly lastCrashAt: number
  readonly failedTrials: number
  readonly endpoints: readonly string[]
  readonly reporters: readonly string[]
  readonly source: string
}

const list = async (_args: QuarantineArguments, cli: Cli): Promise<ExitCode> => {
  const quarantines = await cli.client().request('GET', '/v1/quarantines')
  const lines = quarantines as unknown as readonly QuarantineLine[]
  cli.printResult(quarantines, () => lines.length === 0
    ? ['nothing is under quarantine']
    : formatTable(['scope', 'parts', 'crashes', 'last crash', 'failed trials', 'endpoints', 'seen by', 'source'], lines.map((line) => [
      line.scope.trim(),
      line.parts.join(' '),
      String(line.crashes),
      new Date(line.lastCrashAt).toISOString(),
      String(line.failedTrials),
      line.endpoints.join(' '),
      line.reporters.join(' '),
      line.source
    ])))
  return EXIT_CODES.done
}

const order = async ({ action, service, ofVersion: version, parts }: QuarantineArguments, cli: Cli): Promise<ExitCode> => {
  if (service === undefined || version === undefined || parts === undefined || parts.length === 0) {
    throw new CliFailure('give --service, --of-version and --parts', EXIT_CODES.malformed)
  }
  const answer = await cli.client().request('POST', '/v1/quarantines', { action, service, version, parts: [...parts] })
  cli.printResult(answer, () => [`${parts.join(' ')} of ${service} ${version}: ${action === 'lift' ? 'lifted' : 'pinned'} at all instances`])
  return EXIT_CODES.done
}

const ACTIONS = { list, lift: order, pin: order } as const

/** Shows what is under quarantine because it crashes endpoints, and lifts or pins it. */
export const quarantine = defineCommand({
  command: 'quarantine <action>',
  describe: 'List the parts of prompts that crash endpoints, lift a quarantine, or pin one for good',
  examples: [
    ['$0 quarantine list', 'What is refused, with the crashes and who saw them'],
    ['$0 quarantine lift --service assistant --of-version v2 --parts guide-7', 'Let requests through again']
  ],
  builder: (argv) => argv
    .positional('action', { choices: ['list', 'lift', 'pin'] as const, demandOption: true, describe: 'list, lift or pin' })
    .option('service', { type: 'string', describe: 'The service' })
    .option('of-version', { type: 'string', describe: 'The version of the service' })
    .option('parts', { type: 'string', array: true, describe: 'The parts, as list shows them' }),
  run: async (args, cli) => await ACTIONS[args.action](args, cli)
})

import { CliFailure } from '../CliFailure.js'
import { EXIT_CODES } from '../exitCodes.js'
import type { ExitCode } from '../exitCodes.js'
import { formatTable } from '../table.js'
import { defineCommand } from '../types.js'
import type { Cli } from '../types.js'

interface ClaimsArguments {
  readonly workspace: string | undefined
  readonly key: string | undefined
  readonly as: 'ran' | 'not-run' | undefined
}

interface ClaimLine {
  readonly workspace: string
  readonly key: string
  readonly class: string
  readonly service: string
  readonly owner: string
}

const list = async (_args: ClaimsArguments, cli: Cli): Promise<ExitCode> => {
  const claims = await cli.client().request('GET', '/v1/claims')
  const lines = claims as unknown as readonly ClaimLine[]
  cli.printResult(claims, () => lines.length === 0
    ? ['no claim with an unknown outcome']
    : formatTable(['workspace', 'key', 'class', 'service', 'owner'],
      lines.map((claim) => [claim.workspace, claim.key, claim.class, claim.service, claim.owner])))
  return EXIT_CODES.done
}

const resolve = async ({ workspace, key, as }: ClaimsArguments, cli: Cli): Promise<ExitCode> => {
  if (workspace === undefined || key === undefined || as === undefined) {
    throw new CliFailure('give --workspace, --key and --as; first check at the endpoint whether the request ran', EXIT_CODES.malformed)
  }
  const path = `/v1/claims/${encodeURIComponent(workspace)}/${encodeURIComponent(key)}`
  const answer = await cli.client().request('POST', path, { resolution: as })
  cli.printResult(answer, () => [`${key} of ${workspace} is resolved as ${as}`])
  return EXIT_CODES.done
}

const ACTIONS = { list, resolve } as const

/** Lists and resolves non-repeatable requests whose outcome is unknown. */
export const claims = defineCommand({
  command: 'claims <action>',
  describe: 'List requests whose outcome is unknown, or resolve one',
  examples: [['$0 claims resolve --workspace dealers --key po-81 --as ran', 'Record that an order ran']],
  builder: (argv) => argv
    .positional('action', { choices: ['list', 'resolve'] as const, demandOption: true, describe: 'list or resolve' })
    .option('workspace', { type: 'string', describe: 'The workspace' })
    .option('key', { type: 'string', describe: 'The Idempotency-Key' })
    .option('as', { choices: ['ran', 'not-run'] as const, describe: 'Whether the request ran' }),
  run: async (args, cli) => await ACTIONS[args.action](args, cli)
})

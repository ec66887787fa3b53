import { Result } from 'true-myth'
import type { ChangeAction } from './types.js'

/** Adds a pipeline or replaces the one with the same name. */
export const putPipeline: ChangeAction<'put-pipeline'> = (config, change) => Result.ok({
  ...config,
  pipelines: new Map(config.pipelines).set(change.pipeline.id, change.pipeline)
})
